package org.acaciaflow.state.table

import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.lock.OrderedLock

/**
 * An immutable [State] value shared by several workers.
 *
 * Readers take a snapshot without locking. Writers replace the value while holding the table's lock, which has a fixed
 * position in [LockOrder].
 */
class SharedTable<State : Any> internal constructor(
    order: LockOrder,
    initial: State,
) {
    private val lock = OrderedLock(order)

    @Volatile
    private var current: State = initial

    /** The latest committed state. */
    fun snapshot(): State = current

    /** Replaces the state with the one that [step] computes, and returns the outcome of the step. */
    fun <Outcome> transition(step: (State) -> Transition<State, Outcome>): Outcome =
        lock.withLock {
            val transition = step(current)
            current = transition.state
            transition.outcome
        }

    /** Replaces the state with the result of [step], and returns it. */
    fun update(step: (State) -> State): State =
        lock.withLock {
            val next = step(current)
            current = next
            next
        }
}

/** Creates a table whose lock has the position [order] in the lock order. */
fun <State : Any> createSharedTable(
    order: LockOrder,
    initial: State,
): SharedTable<State> = SharedTable(order, initial)
