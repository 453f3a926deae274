package org.acaciaflow.state.lock

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A lock that refuses to be taken out of the stated [LockOrder]; the check is always on. */
internal class OrderedLock(
    private val order: LockOrder,
) {
    private val lock = ReentrantLock()

    /** Runs [body] under the lock. [body] is not inlined, so it can neither suspend nor return from its caller. */
    fun <Result> withLock(body: () -> Result): Result {
        HeldLocks.push(order)
        try {
            return lock.withLock(body)
        } finally {
            HeldLocks.pop()
        }
    }
}
