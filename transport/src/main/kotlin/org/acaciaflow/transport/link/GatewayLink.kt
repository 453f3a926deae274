package org.acaciaflow.transport.link

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.FrameFault
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.sidecar.AttemptAdmission
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.WireAttempt
import org.acaciaflow.protocol.frame.toFrame
import org.acaciaflow.protocol.frame.toIdentity
import org.acaciaflow.protocol.frame.toOrder
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.parseProcessIdentity
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable

/** The sidecar's end of the link to one gateway process. */
internal class GatewayLink(
    val gateway: ProcessIdentity,
    private val connection: FrameConnection,
    private val context: LinkContext,
    private val admission: AttemptAdmission,
    private val exchanges: ExchangeQueue,
    private val sendLoad: (GatewayLink) -> Unit,
    private val observations: Observations,
) {
    private val calls = createSharedTable(LockOrder.STREAMS, NO_CALLS)

    /** Number of this gateway's attempts in flight on this sidecar. */
    val running: Int
        get() = calls.snapshot().size

    fun send(body: FrameBody): Boolean = connection.send(context.envelope(attempt = null, body))

    /** Handles one frame from the gateway. */
    fun handle(envelope: Envelope) {
        context.configurationPullFor(envelope)?.let { connection.send(it) }
        when (val body = envelope.body) {
            is FrameBody.ConfigurationPush -> context.onConfigurationPush(body)
            FrameBody.ConfigurationPull -> context.configurationPush()?.let { connection.send(it) }
            FrameBody.Heartbeat -> Unit
            else -> handleAttemptFrame(envelope.attempt ?: return reject(), body)
        }
    }

    /** Closes the connection and cancels this gateway's attempts, except at-most-once ones, which run to completion. */
    fun close() {
        val open = calls.transition { Transition(NO_CALLS, it) }
        open.values.forEach { it.onLinkClosed() }
        connection.close()
    }

    private fun handleAttemptFrame(
        attempt: WireAttempt,
        body: FrameBody,
    ) {
        when (body) {
            is FrameBody.Open -> open(attempt, body)
            is FrameBody.CallData -> calls.snapshot()[attempt]?.stream?.onData(body)
            is FrameBody.CallEnd -> calls.snapshot()[attempt]?.stream?.onEnd(body)
            is FrameBody.Credit -> calls.snapshot()[attempt]?.stream?.onCredit(body.bytes)
            FrameBody.Cancel -> calls.snapshot()[attempt]?.cancel()
            is FrameBody.Settle -> settle(attempt, body)
            else -> reject()
        }
    }

    private fun open(
        attempt: WireAttempt,
        body: FrameBody.Open,
    ) {
        val order = attempt.toIdentity()?.let { body.toOrder(it) } ?: return reject()
        val refusal = admission.admit(order)
        if (refusal != null) return refuse(attempt, refusal)
        val stream = CallStream({ reply(attempt, it) }, ByteString(body.buffered), body.bodyWhole)
        val call = RunningCall(order, stream)
        calls.update { it.put(attempt, call) }
        exchanges.submit(call) { lastFrame -> finish(attempt, lastFrame) }
    }

    private fun refuse(
        attempt: WireAttempt,
        refusal: AttemptRefusal,
    ) {
        observations.attemptRefused(refusal)
        sendLoad(this)
        reply(attempt, FrameBody.Refused(refusal))
    }

    private fun finish(
        attempt: WireAttempt,
        lastFrame: FrameBody,
    ) {
        calls.update { it.remove(attempt) }
        sendLoad(this)
        reply(attempt, lastFrame)
    }

    private fun settle(
        attempt: WireAttempt,
        body: FrameBody.Settle,
    ) {
        val identity = attempt.toIdentity() ?: return reject()
        val process = parseProcessIdentity(body.sidecar) ?: return reject()
        reply(attempt, admission.settle(identity, process).toFrame())
    }

    private fun reply(
        attempt: WireAttempt,
        body: FrameBody,
    ): Boolean = connection.send(context.envelope(attempt, body))

    private fun reject() {
        observations.event(Event.FrameRejected(gateway.address, FrameFault.UNEXPECTED))
    }

    private companion object {
        val NO_CALLS: PersistentMap<WireAttempt, RunningCall> = persistentMapOf()
    }
}
