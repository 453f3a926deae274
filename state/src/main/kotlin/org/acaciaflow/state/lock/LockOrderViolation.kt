package org.acaciaflow.state.lock

/** Raised when a thread takes [requested] while it holds [held], which is not lower in the stated order. */
class LockOrderViolation(
    val held: LockOrder,
    val requested: LockOrder,
) : IllegalStateException("lock $requested (${requested.number}) requested while holding $held (${held.number})")
