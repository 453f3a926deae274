package org.acaciaflow.transport.link

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.WireAttempt
import org.acaciaflow.protocol.frame.toAnswer
import org.acaciaflow.protocol.frame.toFrame
import org.acaciaflow.protocol.frame.toWire
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Duration

/** The gateway's end of the link to one sidecar process. */
internal class SidecarLink(
    val sidecar: ProcessIdentity,
    private val connection: FrameConnection,
    private val context: LinkContext,
    private val observations: Observations,
) {
    private val streams = createSharedTable<LinkStreams>(LockOrder.STREAMS, LinkStreams.Open(persistentMapOf()))
    private val pendingSettlements = createSharedTable(LockOrder.LINKS, NO_SETTLEMENTS)

    /** Sends an attempt; a coroutine in [scope] sends the rest of a long body as the flow-control window allows. */
    fun open(
        scope: CoroutineScope,
        order: AttemptOrder,
        body: CallBody,
    ): AttemptStream {
        val attempt = order.attempt.toWire()
        val stream = AnswerStream { connection.send(context.envelope(attempt, it)) }
        if (!addStream(attempt, stream)) return RefusedStream(AttemptRefusal.LINK_UNAVAILABLE)
        val sent = connection.send(context.envelope(attempt, order.toFrame(body.buffered, body.whole)))
        if (!sent) {
            streams.update { it.without(attempt) }
            return RefusedStream(AttemptRefusal.LINK_UNAVAILABLE)
        }
        if (!body.whole) scope.launch { sendRest(attempt, stream, body) }
        return stream
    }

    /** Queries the sidecar for the outcome of an attempt; [SettleAnswer.Unreachable] when the query times out. */
    suspend fun settle(
        attempt: AttemptIdentity,
        process: ProcessIdentity,
        timeout: Duration,
    ): SettleAnswer {
        val wire = attempt.toWire()
        val answer = CompletableDeferred<SettleAnswer>()
        pendingSettlements.update { it.put(wire, settlementsOf(it, wire).add(answer)) }
        connection.send(context.envelope(wire, FrameBody.Settle(process.toString())))
        try {
            return withTimeoutOrNull(timeout) { answer.await() } ?: SettleAnswer.Unreachable
        } finally {
            pendingSettlements.update { withoutSettlement(it, wire, answer) }
        }
    }

    /** Handles a frame of an attempt; false when the frame is of another kind. */
    fun handle(envelope: Envelope): Boolean {
        val attempt = envelope.attempt ?: return false
        when (val body = envelope.body) {
            is FrameBody.AnswerHead -> stream(attempt)?.onHead(body)
            is FrameBody.AnswerData -> stream(attempt)?.onData(body)
            is FrameBody.AnswerEnd -> removeStream(attempt)?.onEnd(body)
            is FrameBody.Refused -> removeStream(attempt)?.onRefused(body)
            is FrameBody.Broken -> removeStream(attempt)?.onBroken(body.reason)
            is FrameBody.Credit ->
                streams
                    .snapshot()
                    .byAttempt[attempt]
                    ?.window
                    ?.grant(body.bytes)
            is FrameBody.Settled ->
                settlementsOf(
                    pendingSettlements.snapshot(),
                    attempt,
                ).forEach { it.complete(body.toAnswer()) }
            else -> return false
        }
        return true
    }

    /** Fails all attempts in flight and all pending settlements, then closes the connection. */
    fun close() {
        val open = streams.transition { Transition(LinkStreams.Closed, it.byAttempt) }
        open.values.forEach { it.onBroken(MayHaveRun.LINK_LOST) }
        pendingSettlements
            .snapshot()
            .values
            .flatten()
            .forEach { it.complete(SettleAnswer.Unreachable) }
        connection.close()
    }

    /** Adds the stream of an attempt that is to be sent; false if the link has closed. */
    private fun addStream(
        attempt: WireAttempt,
        stream: AnswerStream,
    ): Boolean =
        streams.transition { current ->
            when (current) {
                is LinkStreams.Open -> Transition(LinkStreams.Open(current.byAttempt.put(attempt, stream)), true)
                LinkStreams.Closed -> Transition(current, false)
            }
        }

    private fun stream(attempt: WireAttempt): AnswerStream? = countIfStray(streams.snapshot().byAttempt[attempt])

    private fun removeStream(attempt: WireAttempt): AnswerStream? =
        countIfStray(streams.transition { Transition(it.without(attempt), it.byAttempt[attempt]) })

    private fun countIfStray(stream: AnswerStream?): AnswerStream? {
        if (stream == null) observations.strayFrameDropped()
        return stream
    }

    private suspend fun sendRest(
        attempt: WireAttempt,
        stream: AnswerStream,
        body: CallBody,
    ) {
        while (true) {
            val frame =
                when (val part = body.next()) {
                    is BodyPart.Data -> {
                        stream.window.acquire(part.bytes.size)
                        FrameBody.CallData(part.bytes.toByteArray())
                    }

                    BodyPart.End -> {
                        FrameBody.CallEnd(whole = true)
                    }

                    BodyPart.Broken -> {
                        FrameBody.CallEnd(whole = false)
                    }
                }
            val sent = connection.send(context.envelope(attempt, frame))
            if (!sent || frame is FrameBody.CallEnd) return
        }
    }

    private companion object {
        val NO_SETTLEMENTS: PendingSettlements = persistentMapOf()
    }
}

/** The queries for outcomes that have no answer yet; several workers may ask for one attempt. */
private typealias PendingSettlements = PersistentMap<WireAttempt, PersistentList<CompletableDeferred<SettleAnswer>>>

private fun settlementsOf(
    pending: PendingSettlements,
    attempt: WireAttempt,
): PersistentList<CompletableDeferred<SettleAnswer>> = pending[attempt] ?: persistentListOf()

private fun withoutSettlement(
    pending: PendingSettlements,
    attempt: WireAttempt,
    answer: CompletableDeferred<SettleAnswer>,
): PendingSettlements {
    val left = settlementsOf(pending, attempt).remove(answer)
    return if (left.isEmpty()) pending.remove(attempt) else pending.put(attempt, left)
}

/** The attempts in flight on a link. */
private sealed interface LinkStreams {
    val byAttempt: PersistentMap<WireAttempt, AnswerStream>

    fun without(attempt: WireAttempt): LinkStreams

    data class Open(
        override val byAttempt: PersistentMap<WireAttempt, AnswerStream>,
    ) : LinkStreams {
        override fun without(attempt: WireAttempt): LinkStreams = Open(byAttempt.remove(attempt))
    }

    /** The link has closed: no attempt may be added. */
    data object Closed : LinkStreams {
        override val byAttempt: PersistentMap<WireAttempt, AnswerStream> = persistentMapOf()

        override fun without(attempt: WireAttempt): LinkStreams = this
    }
}
