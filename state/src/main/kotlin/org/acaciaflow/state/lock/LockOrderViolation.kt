package org.acaciaflow.state.lock

/** Thrown when a thread requests the lock [requested] while holding [held], which is not lower in [LockOrder]. */
class LockOrderViolation(
    val held: LockOrder,
    val requested: LockOrder,
) : IllegalStateException("lock $requested (${requested.number}) requested while holding $held (${held.number})")
