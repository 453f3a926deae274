package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.buffer.BufferReservation
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import java.io.ByteArrayOutputStream

/** Buffers the parts of an answer until it is complete. */
internal class BufferedAnswer(
    private val head: AnswerHead,
    private val reservation: BufferReservation,
) {
    private var blocks: PersistentList<ByteString> = persistentListOf()

    // Joins small parts, whose objects would occupy many times the memory of their bytes.
    private val smallParts = ByteArrayOutputStream()
    private var size = 0L

    /** Adds [bytes]; returns the reason for dropping them if the answer or all answers together become too large. */
    fun append(bytes: ByteString): MayHaveRun? {
        size += bytes.size
        if (size > MAXIMUM_BYTES) return MayHaveRun.ANSWER_TOO_LARGE
        if (!reservation.covers(size)) return MayHaveRun.ANSWER_MEMORY_SPENT
        if (bytes.size >= BLOCK_BYTES) {
            flushSmallParts()
            blocks = blocks.add(bytes)
        } else {
            smallParts.write(bytes.toByteArray())
            if (smallParts.size() >= BLOCK_BYTES) flushSmallParts()
        }
        return null
    }

    /** Returns the whole answer. */
    fun toStoredAnswer(): StoredAnswer {
        flushSmallParts()
        return StoredAnswer(head.status, head.headers, concatenate(blocks))
    }

    private fun flushSmallParts() {
        if (smallParts.size() == 0) return
        blocks = blocks.add(ByteString(smallParts.toByteArray()))
        smallParts.reset()
    }

    companion object {
        /** A larger body is taken for one without end. */
        const val MAXIMUM_BYTES = 8L * 1024 * 1024
        private const val BLOCK_BYTES = 8 * 1024
    }
}
