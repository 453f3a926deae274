package org.acaciaflow.state.table

/** What a step on a table yields: the state to keep and the outcome to tell its caller. */
data class Transition<out State, out Outcome>(
    val state: State,
    val outcome: Outcome,
)
