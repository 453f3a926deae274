package org.acaciaflow.coordination.buffer

import org.acaciaflow.state.buffer.BufferUse
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.table.Transition

/** Decides whether a process may buffer more of the answers of a backend server. */
object BufferPolicy {
    /** Reserves [bytes] for an answer of [life] if both limits allow it; the outcome tells whether they do. */
    fun reserved(
        use: BufferUse,
        limits: BufferLimits,
        life: BackendLife,
        bytes: Long,
    ): Transition<BufferUse, Boolean> {
        val total = use.total + bytes
        val ofBackend = (use.byBackend[life] ?: 0) + bytes
        if (total > limits.total || ofBackend > limits.perBackend) return Transition(use, false)
        return Transition(BufferUse(total, use.byBackend.put(life, ofBackend)), true)
    }

    /** Gives back [bytes] that were reserved for [life]. */
    fun released(
        use: BufferUse,
        life: BackendLife,
        bytes: Long,
    ): BufferUse {
        val left = (use.byBackend[life] ?: 0) - bytes
        val byBackend = if (left > 0) use.byBackend.put(life, left) else use.byBackend.remove(life)
        return BufferUse(use.total - bytes, byBackend)
    }
}
