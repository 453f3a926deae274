package org.acaciaflow.state.lock

/** The locks that the current thread holds, highest last. */
internal object HeldLocks {
    private val held = ThreadLocal.withInitial { ArrayDeque<LockOrder>() }

    fun push(order: LockOrder) {
        val stack = held.get()
        val highest = stack.lastOrNull()
        if (highest != null && highest.number >= order.number) throw LockOrderViolation(highest, order)
        stack.addLast(order)
    }

    fun pop() {
        held.get().removeLast()
    }
}
