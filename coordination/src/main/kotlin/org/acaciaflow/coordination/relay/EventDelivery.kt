package org.acaciaflow.coordination.relay

import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.isEmpty
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Clock

/** Passes the whole events of one run on to the caller; the head of the first run stands for all of them. */
internal class EventDelivery(
    private val exchange: CallerExchange,
    private val framing: StreamFraming,
    private val journal: RelayJournal,
    private val head: AnswerHead,
    private val clock: Clock,
) {
    private var rest = ByteString()

    /** True when no event has been received in part. */
    val whole: Boolean
        get() = rest.isEmpty()

    /** Passes on the events that [bytes] complete. */
    suspend fun data(bytes: ByteString): CallerWrite {
        val framed = framing.split(if (rest.isEmpty()) bytes else concatenate(listOf(rest, bytes)))
        rest = framed.rest
        if (framed.events.isEmpty()) return CallerWrite.WRITTEN
        if (!journal.progress.begun && exchange.begin(head) == CallerWrite.CALLER_GONE) return CallerWrite.CALLER_GONE
        val last = framed.events.lastOrNull { it.identity != null }?.identity
        journal.note { it.copy(begunAt = it.begunAt ?: clock.now(), lastEvent = last ?: it.lastEvent) }
        return exchange.send(concatenate(framed.events.map { it.bytes }))
    }

    /** Ends the caller's stream, also one without any event. */
    suspend fun end(): CallerWrite {
        if (!journal.progress.begun && exchange.begin(head) == CallerWrite.CALLER_GONE) return CallerWrite.CALLER_GONE
        journal.note { it.copy(begunAt = it.begunAt ?: clock.now()) }
        return exchange.end()
    }
}
