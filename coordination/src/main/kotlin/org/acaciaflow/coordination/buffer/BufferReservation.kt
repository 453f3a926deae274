package org.acaciaflow.coordination.buffer

import org.acaciaflow.state.buffer.BufferUse
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.table.SharedTable

/** The memory reserved for one answer of the backend server [life]; to be released when the answer has ended. */
internal class BufferReservation(
    private val table: SharedTable<BufferUse>,
    private val limits: BufferLimits,
    private val life: BackendLife,
) {
    private var reservedBytes = 0L

    /** Returns true if [bytes] of the answer may be buffered; reserves memory for them where that is needed. */
    fun covers(bytes: Long): Boolean {
        if (bytes <= UNRESERVED_BYTES + reservedBytes) return true
        val steps = (bytes - UNRESERVED_BYTES - reservedBytes + STEP_BYTES - 1) / STEP_BYTES
        val more = steps * STEP_BYTES
        val granted = table.transition { BufferPolicy.reserved(it, limits, life, more) }
        if (granted) reservedBytes += more
        return granted
    }

    fun release() {
        if (reservedBytes == 0L) return
        val bytes = reservedBytes
        table.update { BufferPolicy.released(it, life, bytes) }
        reservedBytes = 0
    }

    private companion object {
        const val UNRESERVED_BYTES = 4L * 1024 // covers most answers without a use of the table
        const val STEP_BYTES = 16L * 1024
    }
}
