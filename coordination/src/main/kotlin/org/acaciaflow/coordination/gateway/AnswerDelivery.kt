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
 * Passes the answer of one attempt on to the caller.
 *
 * An event stream is passed on event by event, its end mark only once the answer is known to be whole. Any other
 * answer is held until it is whole, or until it outgrows [holdLimitBytes] and is passed on as it comes.
 */
internal class AnswerDelivery(
    private val exchange: CallerExchange,
    private val framing: StreamFraming,
    private val holdWhole: Boolean,
    private val holdLimitBytes: Int,
    initial: DeliveryProgress,
) {
    private var mode: DeliveryMode = DeliveryMode.Undecided

    /** What the caller has received, this attempt included. */
    var progress: DeliveryProgress = initial
        private set

    /** The whole answer, when it was held to the end. */
    val heldAnswer: StoredAnswer?
        get() =
            when (val current = mode) {
                is DeliveryMode.Holding -> storedAnswer(current)
                else -> null
            }

    suspend fun head(head: AnswerHead): CallerWrite {
        if (!holdWhole && framing.isEventStream(head)) {
            mode = DeliveryMode.Events(ByteString(), persistentListOf())
            return if (progress.begun) CallerWrite.WRITTEN else begin(head, resumable = true)
        }
        mode = DeliveryMode.Holding(head, persistentListOf(), heldBytes = 0)
        return CallerWrite.WRITTEN
    }

    suspend fun data(bytes: ByteString): CallerWrite =
        when (val current = mode) {
            is DeliveryMode.Events -> events(current, bytes)
            is DeliveryMode.Holding -> hold(current, bytes)
            DeliveryMode.PassingThrough -> exchange.send(bytes)
            DeliveryMode.Undecided -> error("data before the head of an answer")
        }

    suspend fun end(): CallerWrite =
        when (val current = mode) {
            is DeliveryMode.Events -> endEvents(current)
            is DeliveryMode.Holding -> release(current, andEnd = true)
            DeliveryMode.PassingThrough -> exchange.end()
            DeliveryMode.Undecided -> error("end before the head of an answer")
        }

    private suspend fun begin(
        head: AnswerHead,
        resumable: Boolean,
    ): CallerWrite {
        progress = progress.copy(begun = true, resumable = resumable)
        return exchange.begin(head)
    }

    private suspend fun events(
        current: DeliveryMode.Events,
        bytes: ByteString,
    ): CallerWrite {
        val framed = framing.split(concatenate(listOf(current.rest, bytes)))
        val endMarks = framed.events.filter { it.isEndMark }.map { it.bytes }
        val contents = framed.events.filterNot { it.isEndMark }.map { it.bytes }
        mode = DeliveryMode.Events(framed.rest, current.endMarks.addAll(endMarks))
        if (contents.isEmpty()) return CallerWrite.WRITTEN
        progress = progress.copy(events = progress.events + contents.size)
        return exchange.send(concatenate(contents))
    }

    private suspend fun endEvents(current: DeliveryMode.Events): CallerWrite {
        val last = concatenate(current.endMarks + current.rest)
        if (!last.isEmpty()) exchange.send(last)
        return exchange.end()
    }

    private suspend fun hold(
        current: DeliveryMode.Holding,
        bytes: ByteString,
    ): CallerWrite {
        val longer = current.copy(parts = current.parts.add(bytes), heldBytes = current.heldBytes + bytes.size)
        mode = longer
        if (longer.heldBytes <= holdLimitBytes) return CallerWrite.WRITTEN
        mode = DeliveryMode.PassingThrough
        return release(longer, andEnd = false)
    }

    private suspend fun release(
        held: DeliveryMode.Holding,
        andEnd: Boolean,
    ): CallerWrite {
        begin(held.head, resumable = false)
        val body = concatenate(held.parts)
        val written = if (body.isEmpty()) CallerWrite.WRITTEN else exchange.send(body)
        return if (andEnd) exchange.end() else written
    }

    private fun storedAnswer(held: DeliveryMode.Holding): StoredAnswer =
        StoredAnswer(held.head.status, held.head.headers, concatenate(held.parts))

    private sealed interface DeliveryMode {
        data object Undecided : DeliveryMode

        data class Events(
            val rest: ByteString,
            val endMarks: PersistentList<ByteString>,
        ) : DeliveryMode

        data class Holding(
            val head: AnswerHead,
            val parts: PersistentList<ByteString>,
            val heldBytes: Int,
        ) : DeliveryMode

        data object PassingThrough : DeliveryMode
    }
}
