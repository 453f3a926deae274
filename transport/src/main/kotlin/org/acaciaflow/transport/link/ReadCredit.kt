package org.acaciaflow.transport.link

/** Accumulates the bytes that a reader has consumed, so that few frames carry the flow-control credit. */
internal class ReadCredit {
    private var pending = 0

    /** Adds consumed [bytes]; returns the credit in bytes to grant now, or 0 until [GRANT_BYTES] have accumulated. */
    fun consume(bytes: Int): Int {
        pending += bytes
        if (pending < GRANT_BYTES) return 0
        val grant = pending
        pending = 0
        return grant
    }

    private companion object {
        const val GRANT_BYTES = StreamWindow.INITIAL_BYTES / 4
    }
}
