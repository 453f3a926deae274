package org.acaciaflow.state.lock

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A lock that enforces [LockOrder] on every acquisition, in production as well as in tests. */
internal class OrderedLock(
    private val order: LockOrder,
) {
    private val lock = ReentrantLock()

    /**
     * Runs [body] while holding the lock. [body] is not inlined, so it can neither suspend nor return from its caller.
     *
     * @throws LockOrderViolation if the current thread holds a lock that is not lower in the order
     */
    fun <Result> withLock(body: () -> Result): Result {
        HeldLocks.push(order)
        try {
            return lock.withLock(body)
        } finally {
            HeldLocks.pop()
        }
    }
}
