package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.gateway.FramedEvents
import org.acaciaflow.coordination.gateway.StreamEvent
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.state.work.AnswerHead

/** Framing of completion streams: server-sent events, each ended by an empty line, with `[DONE]` as the last one. */
object ServerSentEvents : StreamFraming {
    private const val EVENT_STREAM_TYPE = "text/event-stream"
    private const val IDENTITY_FIELD = "id:"
    private const val MAXIMUM_END_MARK_BYTES = 20
    private const val END_MARK = "data: [DONE]"
    private const val SUCCESS = 200
    private const val COMMENT_START = ':'.code.toByte()
    private const val LINE_FEED = '\n'.code.toByte()
    private const val CARRIAGE_RETURN = '\r'.code.toByte()

    override fun isEventStream(head: AnswerHead): Boolean {
        val type = head.headers.firstOrNull { it.name.equals("content-type", ignoreCase = true) }?.value
        return head.status == SUCCESS && type?.startsWith(EVENT_STREAM_TYPE, ignoreCase = true) == true
    }

    override fun split(bytes: ByteString): FramedEvents {
        val content = bytes.toByteArray()
        var events: PersistentList<StreamEvent> = persistentListOf()
        var start = 0
        for (index in 1 until content.size) {
            if (content[index] == LINE_FEED && endsEmptyLine(content, index)) {
                events = events.add(event(content, start, index + 1))
                start = index + 1
            }
        }
        return FramedEvents(events, ByteString(content, start, content.size))
    }

    /** True when the line feed at [index] ends an empty line. */
    private fun endsEmptyLine(
        content: ByteArray,
        index: Int,
    ): Boolean {
        if (content[index - 1] == LINE_FEED) return true
        return content[index - 1] == CARRIAGE_RETURN && index > 1 && content[index - 2] == LINE_FEED
    }

    private fun event(
        content: ByteArray,
        start: Int,
        end: Int,
    ): StreamEvent =
        StreamEvent(
            bytes = ByteString(content, start, end),
            identity = identityOf(content, start, end),
            isEndMark = end - start <= MAXIMUM_END_MARK_BYTES && content.decodeToString(start, end).trim() == END_MARK,
            isComment = content[start] == COMMENT_START || isBlank(content, start, end),
        )

    private fun isBlank(
        content: ByteArray,
        start: Int,
        end: Int,
    ): Boolean = (start until end).all { content[it] == LINE_FEED || content[it] == CARRIAGE_RETURN }

    /** The value of the event's first `id` field; null when it has none. */
    private fun identityOf(
        content: ByteArray,
        start: Int,
        end: Int,
    ): String? {
        var lineStart = start
        while (lineStart < end) {
            val lineEnd = lineEnd(content, lineStart, end)
            if (startsWithIdentityField(content, lineStart, lineEnd)) {
                return content.decodeToString(lineStart + IDENTITY_FIELD.length, lineEnd).trim()
            }
            lineStart = lineEnd + 1
        }
        return null
    }

    private fun lineEnd(
        content: ByteArray,
        start: Int,
        end: Int,
    ): Int {
        var index = start
        while (index < end && content[index] != LINE_FEED) index += 1
        return index
    }

    private fun startsWithIdentityField(
        content: ByteArray,
        start: Int,
        end: Int,
    ): Boolean =
        start + IDENTITY_FIELD.length <= end &&
            IDENTITY_FIELD.indices.all { content[start + it] == IDENTITY_FIELD[it].code.toByte() }
}
