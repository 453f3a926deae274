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

    private fun event(bytes: ByteString): StreamEvent {
        val text = bytes.decodeToString()
        val identity = text.lineSequence().firstOrNull { it.startsWith(IDENTITY_FIELD) }
        return StreamEvent(
            bytes = bytes,
            identity = identity?.removePrefix(IDENTITY_FIELD)?.trim(),
            isEndMark = text.trim() == END_MARK,
        )
    }
}
