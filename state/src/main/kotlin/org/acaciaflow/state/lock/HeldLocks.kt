package org.acaciaflow.state.lock

/** Tracks the locks that the current thread holds, in ascending order. */
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
