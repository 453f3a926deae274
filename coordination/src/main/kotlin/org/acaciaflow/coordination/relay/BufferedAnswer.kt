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

    fun append(bytes: ByteString) {
        parts = parts.add(bytes)
    }

    fun toStoredAnswer(): StoredAnswer = StoredAnswer(head.status, head.headers, concatenate(parts))
}
