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

/** The sidecar's end of the link to one gateway life. */
internal class GatewayLink(
    val gateway: ProcessIdentity,
    private val connection: FrameConnection,
    private val context: LinkContext,
    private val admission: AttemptAdmission,
    private val exchanges: ExchangeQueue,
    private val tellLoad: (GatewayLink) -> Unit,
    private val observations: Observations,
) {
    private val streams = createSharedTable(LockOrder.STREAMS, NO_CALLS)

    /** How many attempts of this gateway are in progress here. */
    val running: Int
        get() = streams.snapshot().size

    fun send(body: FrameBody): Boolean = connection.send(context.envelope(attempt = null, body))

    /** Takes one frame of the gateway. */
    fun take(envelope: Envelope) {
        context.pullFor(envelope)?.let { connection.send(it) }
        when (val body = envelope.body) {
            is FrameBody.ConfigurationPush -> context.pushed(body)
            FrameBody.ConfigurationPull -> context.push()?.let { connection.send(it) }
            FrameBody.Heartbeat -> Unit
            else -> takeAttemptFrame(envelope.attempt ?: return reject(), body)
        }
    }

    /** Breaks off what only this gateway waits for; attempts that must not repeat run on. */
    fun ended() {
        val open = streams.transition { Transition(NO_CALLS, it) }
        open.values.forEach { it.linkEnded() }
        connection.close()
    }

    private fun takeAttemptFrame(
        attempt: WireAttempt,
        body: FrameBody,
    ) {
        when (body) {
            is FrameBody.Open -> open(attempt, body)
            is FrameBody.CallData -> streams.snapshot()[attempt]?.stream?.dataArrived(body)
            is FrameBody.CallEnd -> streams.snapshot()[attempt]?.stream?.endArrived(body)
            is FrameBody.Credit -> streams.snapshot()[attempt]?.stream?.creditArrived(body.bytes)
            FrameBody.Cancel -> streams.snapshot()[attempt]?.cancel()
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
        streams.update { it.put(attempt, call) }
        exchanges.submit(call) { outcome -> finished(attempt, outcome) }
    }

    private fun refuse(
        attempt: WireAttempt,
        refusal: AttemptRefusal,
    ) {
        observations.attemptRefused(refusal)
        tellLoad(this)
        reply(attempt, FrameBody.Refused(refusal))
    }

    private fun finished(
        attempt: WireAttempt,
        outcome: FrameBody,
    ) {
        streams.update { it.remove(attempt) }
        tellLoad(this)
        reply(attempt, outcome)
    }

    private fun settle(
        attempt: WireAttempt,
        body: FrameBody.Settle,
    ) {
        val identity = attempt.toIdentity() ?: return reject()
        val life = parseProcessIdentity(body.sidecar) ?: return reject()
        reply(attempt, admission.settle(identity, life).toFrame())
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
