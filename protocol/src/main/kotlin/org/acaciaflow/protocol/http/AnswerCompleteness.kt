package org.acaciaflow.protocol.http

import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead

/** Follows an answer and tells at its end whether it is whole. */
class AnswerCompleteness(
    call: CallHead,
    private val head: AnswerHead,
) {
    private val bodyless = call.method.equals("HEAD", ignoreCase = true) || head.status in BODYLESS_STATUSES
    private val declaredBytes: Long? =
        head.headers
            .firstOrNull { it.name.equals("content-length", ignoreCase = true) }
            ?.value
            ?.toLongOrNull()
    private var passedBytes = 0L
    private var tail = ByteString()

    /** True when the declared length was reached, and when an event stream closed with its end mark. */
    val whole: Boolean
        get() = lengthReached() && endMarkSeen()

    fun passed(bytes: ByteString) {
        passedBytes += bytes.size
        val longer = concatenate(listOf(tail, bytes))
        tail = longer.substring(maxOf(0, longer.size - TAIL_BYTES))
    }

    private fun lengthReached(): Boolean = bodyless || declaredBytes == null || declaredBytes == passedBytes

    private fun endMarkSeen(): Boolean =
        !ServerSentEvents.isEventStream(head) || tail.decodeToString().trimEnd().endsWith(END_MARK)

    private companion object {
        val BODYLESS_STATUSES = setOf(204, 304)
        const val END_MARK = "data: [DONE]"
        const val TAIL_BYTES = 32
    }
}
