package org.acaciaflow.state.table

import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.lock.OrderedLock

/**
 * One immutable [State] value that several workers share.
 *
 * Readers take a snapshot without a lock. Writers replace the value under the table's numbered lock.
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

    /** Replaces the state by what [step] returns and tells its outcome. */
    fun <Outcome> transition(step: (State) -> Transition<State, Outcome>): Outcome =
        lock.withLock {
            val transition = step(current)
            current = transition.state
            transition.outcome
        }

    /** Replaces the state by what [step] returns. */
    fun update(step: (State) -> State): State =
        lock.withLock {
            val next = step(current)
            current = next
            next
        }
}

/** Creates a table whose lock has the given place in the lock order. */
fun <State : Any> createSharedTable(
    order: LockOrder,
    initial: State,
): SharedTable<State> = SharedTable(order, initial)
