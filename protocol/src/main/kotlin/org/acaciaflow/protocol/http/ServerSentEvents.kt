package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.gateway.EventSplitter
import org.acaciaflow.coordination.gateway.StreamEvent
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.state.work.AnswerHead
import java.io.ByteArrayOutputStream

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

    override fun newSplitter(): EventSplitter = ServerSentEventSplitter()

    /** Splits at empty lines; each byte is looked at once, however small the parts are. */
    private class ServerSentEventSplitter : EventSplitter {
        private val unfinished = ByteArrayOutputStream()
        private var lastByte: Byte = 0
        private var byteBeforeLast: Byte = 0

        override val incomplete: ByteString
            get() = ByteString(unfinished.toByteArray())

        override val incompleteSize: Int
            get() = unfinished.size()

        override fun split(bytes: ByteString): PersistentList<StreamEvent> {
            val content = bytes.toByteArray()
            var events: PersistentList<StreamEvent> = persistentListOf()
            var start = 0
            for (index in content.indices) {
                if (content[index] == LINE_FEED && isEmptyLine()) {
                    unfinished.write(content, start, index + 1 - start)
                    events = events.add(eventOf(unfinished.toByteArray()))
                    unfinished.reset()
                    start = index + 1
                }
                byteBeforeLast = lastByte
                lastByte = content[index]
            }
            unfinished.write(content, start, content.size - start)
            return events
        }

        /** True when a line feed after the last byte ends an empty line. */
        private fun isEmptyLine(): Boolean =
            lastByte == LINE_FEED || (lastByte == CARRIAGE_RETURN && byteBeforeLast == LINE_FEED)
    }

    private fun eventOf(content: ByteArray): StreamEvent =
        StreamEvent(
            bytes = ByteString(content),
            identity = identityOf(content),
            isEndMark = content.size <= MAXIMUM_END_MARK_BYTES && content.decodeToString().trim() == END_MARK,
            isComment = content[0] == COMMENT_START || isBlank(content),
        )

    private fun isBlank(content: ByteArray): Boolean = content.all { it == LINE_FEED || it == CARRIAGE_RETURN }

    /** The value of the event's first `id` field; null when it has none. */
    private fun identityOf(content: ByteArray): String? {
        var lineStart = 0
        while (lineStart < content.size) {
            val lineEnd = lineEnd(content, lineStart)
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
    ): Int {
        var index = start
        while (index < content.size && content[index] != LINE_FEED) index += 1
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
