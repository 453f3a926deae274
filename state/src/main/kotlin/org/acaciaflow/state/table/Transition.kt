package org.acaciaflow.state.table

/** The result of a step on a [SharedTable]: the new state of the table and the outcome returned to the caller. */
data class Transition<out State, out Outcome>(
    val state: State,
    val outcome: Outcome,
)
