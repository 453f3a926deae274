package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import org.acaciaflow.coordination.gateway.FramedEvents
import org.acaciaflow.coordination.gateway.StreamEvent
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.state.work.AnswerHead

/** Server-sent events as completion streams use them: events end with an empty line, the last one is `[DONE]`. */
object ServerSentEvents : StreamFraming {
    private const val EVENT_STREAM_TYPE = "text/event-stream"
    private const val IDENTITY_FIELD = "id:"
    private const val LONGEST_END_MARK = 20
    private const val END_MARK = "data: [DONE]"
    private const val SUCCESS = 200
    private const val LINE_FEED = '\n'.code.toByte()
    private const val CARRIAGE_RETURN = '\r'.code.toByte()

    override fun isEventStream(head: AnswerHead): Boolean {
        val type = head.headers.firstOrNull { it.name.equals("content-type", ignoreCase = true) }?.value
        return head.status == SUCCESS && type?.startsWith(EVENT_STREAM_TYPE, ignoreCase = true) == true
    }

    override fun split(bytes: ByteString): FramedEvents {
        var events: PersistentList<StreamEvent> = persistentListOf()
        var start = 0
        var index = 0
        while (index < bytes.size) {
            if (endsEvent(bytes, index)) {
                events = events.add(event(bytes.substring(start, index + 1)))
                start = index + 1
            }
            index += 1
        }
        return FramedEvents(events, bytes.substring(start))
    }

    /** True when the line feed at [index] ends an empty line. */
    private fun endsEvent(
        bytes: ByteString,
        index: Int,
    ): Boolean {
        if (bytes[index] != LINE_FEED || index == 0) return false
        if (bytes[index - 1] == LINE_FEED) return true
        return bytes[index - 1] == CARRIAGE_RETURN && index > 1 && bytes[index - 2] == LINE_FEED
    }

    private fun event(bytes: ByteString): StreamEvent =
        StreamEvent(
            bytes = bytes,
            identity = identityOf(bytes),
            isEndMark = bytes.size <= LONGEST_END_MARK && bytes.decodeToString().trim() == END_MARK,
        )

    /** The value of the field that numbers an event; only the lines before it are looked at. */
    private fun identityOf(bytes: ByteString): String? {
        var start = 0
        while (start < bytes.size) {
            val end = lineEnd(bytes, start)
            if (startsWithIdentity(bytes, start)) {
                return bytes
                    .substring(start, end)
                    .decodeToString()
                    .removePrefix(IDENTITY_FIELD)
                    .trim()
            }
            start = end + 1
        }
        return null
    }

    private fun lineEnd(
        bytes: ByteString,
        start: Int,
    ): Int {
        var end = start
        while (end < bytes.size && bytes[end] != LINE_FEED) end += 1
        return end
    }

    private fun startsWithIdentity(
        bytes: ByteString,
        start: Int,
    ): Boolean =
        start + IDENTITY_FIELD.length <= bytes.size &&
            IDENTITY_FIELD.indices.all { bytes[start + it] == IDENTITY_FIELD[it].code.toByte() }
}
