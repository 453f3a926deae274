package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.work.AnswerHead

/** Keeps the parts of an answer until it is whole. */
internal class HeldAnswer(
    private val head: AnswerHead,
) {
    private var parts: PersistentList<ByteString> = persistentListOf()

    fun data(bytes: ByteString) {
        parts = parts.add(bytes)
    }

    fun answer(): StoredAnswer = StoredAnswer(head.status, head.headers, concatenate(parts))
}
