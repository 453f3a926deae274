package org.acaciaflow.protocol.http

import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead

/** Tracks the body of an answer to determine whether it arrived completely. */
class AnswerCompleteness(
    call: CallHead,
    private val head: AnswerHead,
) {
    private val hasNoBody = call.method.equals("HEAD", ignoreCase = true) || head.status in STATUSES_WITHOUT_BODY
    private val declaredBytes: Long? =
        head.headers
            .firstOrNull { it.name.equals("content-length", ignoreCase = true) }
            ?.value
            ?.toLongOrNull()
    private var receivedBytes = 0L
    private var tail = ByteString()

    /**
     * True when the body has its declared length, if any, and, for an event stream, ends with the `[DONE]` event.
     *
     * Meaningful only after the last chunk was passed to [update].
     */
    val isComplete: Boolean
        get() = lengthReached() && endMarkSeen()

    /** Adds the next chunk of the body. */
    fun update(bytes: ByteString) {
        receivedBytes += bytes.size
        val extended = concatenate(listOf(tail, bytes))
        tail = extended.substring(maxOf(0, extended.size - TAIL_BYTES))
    }

    private fun lengthReached(): Boolean = hasNoBody || declaredBytes == null || declaredBytes == receivedBytes

    private fun endMarkSeen(): Boolean =
        !ServerSentEvents.isEventStream(head) || tail.decodeToString().trimEnd().endsWith(END_MARK)

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        const val END_MARK = "data: [DONE]"
        const val TAIL_BYTES = 32
    }
}
