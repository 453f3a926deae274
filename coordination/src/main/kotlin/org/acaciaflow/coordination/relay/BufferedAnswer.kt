package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.work.AnswerHead

/** Buffers the parts of an answer until it is complete. */
internal class BufferedAnswer(
    private val head: AnswerHead,
) {
    private var parts: PersistentList<ByteString> = persistentListOf()
    private var size = 0L

    /** Adds [bytes]; returns false, and drops them, if the answer becomes larger than [MAXIMUM_BYTES]. */
    fun append(bytes: ByteString): Boolean {
        size += bytes.size
        if (size > MAXIMUM_BYTES) return false
        parts = parts.add(bytes)
        return true
    }

    fun toStoredAnswer(): StoredAnswer = StoredAnswer(head.status, head.headers, concatenate(parts))

    companion object {
        /** A larger body is taken for one without end; a gateway has memory for several of this size. */
        const val MAXIMUM_BYTES = 8L * 1024 * 1024
    }
}
