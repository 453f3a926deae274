package org.acaciaflow.transport.link

import kotlinx.collections.immutable.PersistentMap
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
    private val streams = createSharedTable(LockOrder.STREAMS, persistentMapOf<WireAttempt, AnswerStream>())
    private val pendingSettlements =
        createSharedTable(LockOrder.LINKS, persistentMapOf<WireAttempt, CompletableDeferred<SettleAnswer>>())

    /** Sends an attempt; a coroutine in [scope] sends the rest of a long body as the flow-control window allows. */
    fun open(
        scope: CoroutineScope,
        order: AttemptOrder,
        body: CallBody,
    ): AttemptStream {
        val attempt = order.attempt.toWire()
        val stream = AnswerStream { connection.send(context.envelope(attempt, it)) }
        streams.update { it.put(attempt, stream) }
        val sent = connection.send(context.envelope(attempt, order.toFrame(body.buffered, body.whole)))
        if (!sent) {
            streams.update { it.remove(attempt) }
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
        pendingSettlements.update { it.put(wire, answer) }
        connection.send(context.envelope(wire, FrameBody.Settle(process.toString())))
        val received = withTimeoutOrNull(timeout) { answer.await() }
        pendingSettlements.update { it.remove(wire) }
        return received ?: SettleAnswer.Unreachable
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
            is FrameBody.Credit -> streams.snapshot()[attempt]?.window?.grant(body.bytes)
            is FrameBody.Settled -> pendingSettlements.snapshot()[attempt]?.complete(body.toAnswer())
            else -> return false
        }
        return true
    }

    /** Fails all attempts in flight and all pending settlements, then closes the connection. */
    fun close() {
        val open = streams.transition { Transition(NO_STREAMS, it) }
        open.values.forEach { it.onBroken(MayHaveRun.LINK_LOST) }
        pendingSettlements.snapshot().values.forEach { it.complete(SettleAnswer.Unreachable) }
        connection.close()
    }

    private fun stream(attempt: WireAttempt): AnswerStream? = countIfStray(streams.snapshot()[attempt])

    private fun removeStream(attempt: WireAttempt): AnswerStream? =
        countIfStray(streams.transition { Transition(it.remove(attempt), it[attempt]) })

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
        val NO_STREAMS: PersistentMap<WireAttempt, AnswerStream> = persistentMapOf()
    }
}
