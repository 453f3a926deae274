package org.acaciaflow.coordination.relay

import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.isEmpty
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Clock

/**
 * Forwards the complete events of one attempt to the caller.
 *
 * The caller gets the head of the first attempt only; an attempt that resumes the stream adds only its events.
 */
internal class EventDelivery(
    private val exchange: CallerExchange,
    private val framing: StreamFraming,
    private val tracker: RelayProgressTracker,
    private val head: AnswerHead,
    private val clock: Clock,
) {
    private var rest = ByteString()

    /** True when the data received so far ends at an event boundary. */
    val endsAtEventBoundary: Boolean
        get() = rest.isEmpty()

    /** Forwards the events that [bytes] complete and buffers the rest. */
    suspend fun forward(bytes: ByteString): CallerWrite {
        val framed = framing.split(if (rest.isEmpty()) bytes else concatenate(listOf(rest, bytes)))
        rest = framed.rest
        if (framed.events.isEmpty()) return CallerWrite.WRITTEN
        if (!tracker.progress.begun && exchange.begin(head) == CallerWrite.CALLER_GONE) return CallerWrite.CALLER_GONE
        val last = framed.events.lastOrNull { it.identity != null }?.identity
        tracker.update { it.copy(begunAt = it.begunAt ?: clock.now(), lastEvent = last ?: it.lastEvent) }
        return exchange.send(concatenate(framed.events.map { it.bytes }))
    }

    /** Ends the caller's stream, after sending the head if no event was sent. */
    suspend fun end(): CallerWrite {
        if (!tracker.progress.begun && exchange.begin(head) == CallerWrite.CALLER_GONE) return CallerWrite.CALLER_GONE
        tracker.update { it.copy(begunAt = it.begunAt ?: clock.now()) }
        return exchange.end()
    }
}
