package org.acaciaflow.coordination.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.isEmpty
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.work.AnswerHead

/**
 * Forwards the answer of one attempt to the caller.
 *
 * An event stream is forwarded event by event; its end marks are withheld until the answer is known to be complete.
 * Any other answer is buffered until it is complete, or until it exceeds [bufferLimitBytes]; from then on its bytes
 * are forwarded as they arrive.
 */
internal class AnswerDelivery(
    private val exchange: CallerExchange,
    private val framing: StreamFraming,
    private val bufferWhole: Boolean,
    private val bufferLimitBytes: Int,
    initial: DeliveryProgress,
) {
    private var mode: DeliveryMode = DeliveryMode.AwaitingHead

    /** What the caller has received so far, including the bytes of this attempt. */
    var progress: DeliveryProgress = initial
        private set

    /** The answer as buffered so far; null if it is not buffered or has exceeded the buffer limit. */
    val bufferedAnswer: StoredAnswer?
        get() =
            when (val current = mode) {
                is DeliveryMode.Buffering -> storedAnswer(current)
                else -> null
            }

    /** Returns true if an answer with [head] can be forwarded: only events can continue an answer that has begun. */
    fun accepts(head: AnswerHead): Boolean = !progress.begun || framing.isEventStream(head)

    suspend fun head(head: AnswerHead): CallerWrite {
        if (!bufferWhole && framing.isEventStream(head)) {
            mode = DeliveryMode.Events(framing.newSplitter(), persistentListOf())
            return if (progress.begun) CallerWrite.WRITTEN else begin(head, resumable = true)
        }
        mode = DeliveryMode.Buffering(head, persistentListOf(), bufferedBytes = 0)
        return CallerWrite.WRITTEN
    }

    suspend fun data(bytes: ByteString): CallerWrite =
        when (val current = mode) {
            is DeliveryMode.Events -> forwardEvents(current, bytes)
            is DeliveryMode.Buffering -> buffer(current, bytes)
            DeliveryMode.PassingThrough -> exchange.send(bytes)
            DeliveryMode.AwaitingHead -> error("answer data received before the answer head")
        }

    /** Completes the answer: forwards the withheld end marks or the buffered body, then ends the exchange. */
    suspend fun end(): CallerWrite =
        when (val current = mode) {
            is DeliveryMode.Events -> endEvents(current)
            is DeliveryMode.Buffering -> flush(current, andEnd = true)
            DeliveryMode.PassingThrough -> exchange.end()
            DeliveryMode.AwaitingHead -> error("end of answer received before the answer head")
        }

    private suspend fun begin(
        head: AnswerHead,
        resumable: Boolean,
    ): CallerWrite {
        progress = progress.copy(begun = true, resumable = resumable)
        return exchange.begin(head)
    }

    private suspend fun forwardEvents(
        current: DeliveryMode.Events,
        bytes: ByteString,
    ): CallerWrite {
        val events = current.splitter.split(bytes)
        val endMarks = events.filter { it.isEndMark }.map { it.bytes }
        val contents = events.filterNot { it.isEndMark }.map { it.bytes }
        mode = DeliveryMode.Events(current.splitter, current.endMarks.addAll(endMarks))
        if (contents.isEmpty()) return CallerWrite.WRITTEN
        progress = progress.copy(events = progress.events + contents.size)
        return exchange.send(concatenate(contents))
    }

    private suspend fun endEvents(current: DeliveryMode.Events): CallerWrite {
        val last = concatenate(current.endMarks + current.splitter.incomplete)
        if (!last.isEmpty()) exchange.send(last)
        return exchange.end()
    }

    private suspend fun buffer(
        current: DeliveryMode.Buffering,
        bytes: ByteString,
    ): CallerWrite {
        val longer = current.copy(parts = current.parts.add(bytes), bufferedBytes = current.bufferedBytes + bytes.size)
        mode = longer
        if (longer.bufferedBytes <= bufferLimitBytes) return CallerWrite.WRITTEN
        mode = DeliveryMode.PassingThrough
        return flush(longer, andEnd = false)
    }

    private suspend fun flush(
        buffered: DeliveryMode.Buffering,
        andEnd: Boolean,
    ): CallerWrite {
        begin(buffered.head, resumable = false)
        val body = concatenate(buffered.parts)
        val written = if (body.isEmpty()) CallerWrite.WRITTEN else exchange.send(body)
        return if (andEnd) exchange.end() else written
    }

    private fun storedAnswer(buffered: DeliveryMode.Buffering): StoredAnswer =
        StoredAnswer(buffered.head.status, buffered.head.headers, concatenate(buffered.parts))

    private sealed interface DeliveryMode {
        data object AwaitingHead : DeliveryMode

        data class Events(
            val splitter: EventSplitter,
            val endMarks: PersistentList<ByteString>,
        ) : DeliveryMode

        data class Buffering(
            val head: AnswerHead,
            val parts: PersistentList<ByteString>,
            val bufferedBytes: Int,
        ) : DeliveryMode

        data object PassingThrough : DeliveryMode
    }
}
