package org.acaciaflow.transport.link

/** Gathers bytes that a reader has taken, so that credit is granted in few frames. */
internal class ReadCredit {
    private var taken = 0

    /** Notes [bytes] as taken; the result is the credit to grant now, 0 while it is too small to be worth a frame. */
    fun taken(bytes: Int): Int {
        taken += bytes
        if (taken < GRANT_BYTES) return 0
        val grant = taken
        taken = 0
        return grant
    }

    private companion object {
        const val GRANT_BYTES = StreamWindow.INITIAL_BYTES / 4
    }
}
