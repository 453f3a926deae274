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

/** The gateway's end of the link to one sidecar life. */
internal class SidecarLink(
    val sidecar: ProcessIdentity,
    private val connection: FrameConnection,
    private val context: LinkContext,
    private val observations: Observations,
) {
    private val streams = createSharedTable(LockOrder.STREAMS, persistentMapOf<WireAttempt, AnswerStream>())
    private val questions =
        createSharedTable(LockOrder.LINKS, persistentMapOf<WireAttempt, CompletableDeferred<SettleAnswer>>())

    /** Opens an attempt; the rest of a long body is sent in [scope] as the window allows. */
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

    /** Asks the sidecar what became of an attempt. */
    suspend fun settle(
        attempt: AttemptIdentity,
        life: ProcessIdentity,
        timeout: Duration,
    ): SettleAnswer {
        val wire = attempt.toWire()
        val answer = CompletableDeferred<SettleAnswer>()
        questions.update { it.put(wire, answer) }
        connection.send(context.envelope(wire, FrameBody.Settle(life.toString())))
        val told = withTimeoutOrNull(timeout) { answer.await() }
        questions.update { it.remove(wire) }
        return told ?: SettleAnswer.Unreachable
    }

    /** Takes a frame that is about an attempt; false when it is of another kind. */
    fun take(envelope: Envelope): Boolean {
        val attempt = envelope.attempt ?: return false
        when (val body = envelope.body) {
            is FrameBody.AnswerHead -> stream(attempt)?.headArrived(body)
            is FrameBody.AnswerData -> stream(attempt)?.dataArrived(body)
            is FrameBody.AnswerEnd -> finished(attempt)?.endArrived(body)
            is FrameBody.Refused -> finished(attempt)?.refusalArrived(body)
            is FrameBody.Broken -> finished(attempt)?.broke(body.reason)
            is FrameBody.Credit -> streams.snapshot()[attempt]?.window?.grant(body.bytes)
            is FrameBody.Settled -> questions.snapshot()[attempt]?.complete(body.toAnswer())
            else -> return false
        }
        return true
    }

    /** Breaks everything in progress, since the link has ended. */
    fun ended() {
        val open = streams.transition { Transition(NO_STREAMS, it) }
        open.values.forEach { it.broke(MayHaveRun.LINK_LOST) }
        questions.snapshot().values.forEach { it.complete(SettleAnswer.Unreachable) }
        connection.close()
    }

    private fun stream(attempt: WireAttempt): AnswerStream? = known(streams.snapshot()[attempt])

    private fun finished(attempt: WireAttempt): AnswerStream? =
        known(streams.transition { Transition(it.remove(attempt), it[attempt]) })

    private fun known(stream: AnswerStream?): AnswerStream? {
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
                        stream.window.take(part.bytes.size)
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
