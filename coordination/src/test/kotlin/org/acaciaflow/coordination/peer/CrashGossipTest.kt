package org.acaciaflow.coordination.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.crash.CrashRecorder
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CrashGossipTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val part = CrashSubject.Part(8)
    private val deadly = CrashSubject.Part(9)

    // Guards against a gateway that sends on requests with a crashing part since it was restarted.
    @Test
    fun `a gateway that starts during a quarantine learns of it, and nobody renews it`() {
        val old = Gateway("10.0.0.1")
        (1..3).forEach { old.recorder.crashed(listOf(part), BackendLife("engine-$it", 1), now) }

        val young = Gateway("10.0.0.2")
        young.gossip.receive(old.gossip.report(stopping = false, now + 60.seconds), now + 60.seconds)
        for (second in 61..130) {
            old.gossip.receive(young.gossip.report(stopping = false, now + second.seconds), now + second.seconds)
            young.gossip.receive(old.gossip.report(stopping = false, now + second.seconds), now + second.seconds)
        }

        listOf(old, young).map { it.isQuarantined(now + 61.seconds) } shouldBe listOf(true, true)
        listOf(old, young).map { it.isQuarantined(now + 121.seconds) } shouldBe listOf(false, false)
    }

    @Test
    fun `crashes that several gateways saw add up`() {
        val gateways = (1..3).map { Gateway("10.0.0.$it") }
        gateways.forEachIndexed { index, gateway ->
            gateway.recorder.crashed(listOf(part), BackendLife("engine-$index", 1), now)
        }

        val reports = gateways.map { it.gossip.report(stopping = false, now + 200.milliseconds) }
        for (gateway in gateways) reports.forEach { gateway.gossip.receive(it, now + 200.milliseconds) }

        gateways.map { it.isQuarantined(now + 1.seconds) } shouldBe listOf(true, true, true)
    }

    @Test
    fun `a gateway that served a sound part clears it for the others`() {
        val seeing = Gateway("10.0.0.1")
        val serving = Gateway("10.0.0.2")
        seeing.recorder.crashed(listOf(part), BackendLife("engine-1", 1), now)
        seeing.recorder.crashed(listOf(part), BackendLife("engine-2", 1), now)
        serving.gossip.receive(seeing.gossip.report(stopping = false, now), now)

        serving.recorder.served(listOf(part), now + 1.seconds)
        seeing.gossip.receive(serving.gossip.report(stopping = false, now + 1.2.seconds), now + 1.2.seconds)
        seeing.recorder.crashed(listOf(part), BackendLife("engine-3", 1), now + 2.seconds)

        seeing.isQuarantined(now + 2.seconds) shouldBe false
    }

    // Guards against peers that go on refusing a part since its trial ended long after the crashes.
    @Test
    fun `a part that is served at a trial is cleared for the others`() {
        val gateways = (1..2).map { Gateway("10.0.0.$it") }
        for (gateway in gateways) {
            gateway.recorder.served(listOf(part), now)
            (1..3).forEach { gateway.recorder.crashed(listOf(part), BackendLife("engine-$it", 1), now + 1.seconds) }
        }
        val (trying, other) = gateways

        trying.recorder.served(listOf(part), now + 12.seconds)
        other.gossip.receive(trying.gossip.report(stopping = false, now + 12.1.seconds), now + 12.2.seconds)

        other.isQuarantined(now + 12.3.seconds) shouldBe false
    }

    // Guards against refusing a sound part, at gateways that have not served it, for the crashes of another part.
    @Test
    fun `a part that one gateway served before the crashes is not new to the others`() {
        val serving = Gateway("10.0.0.1")
        val other = Gateway("10.0.0.2")
        serving.recorder.served(listOf(part), now)
        val lives = (1..3).map { BackendLife("engine-$it", 1) }
        for (gateway in listOf(serving, other)) {
            lives.forEach { gateway.recorder.crashed(listOf(part, deadly), it, now + 1.seconds) }
        }

        other.gossip.receive(serving.gossip.report(stopping = false, now + 1.2.seconds), now + 1.2.seconds)

        other.isQuarantined(now + 1.3.seconds) shouldBe false
        other.isQuarantined(now + 1.3.seconds, deadly) shouldBe true
    }

    private inner class Gateway(
        ip: String,
    ) {
        private val identity =
            GatewayIdentity(HostAddress(ip, 7000), startedAtMilliseconds = 1, DataCentre("north"), capacity = 1.0)
        private val tables = createRelayTables()
        private val observations = FakeObservations()
        val recorder = CrashRecorder(tables.crashes, tables.startingAttempts, observations)
        val gossip = PeerGossip(identity, tables, LoadExchange(identity, tables), observations)

        fun isQuarantined(
            at: Instant,
            subject: CrashSubject = part,
        ): Boolean = CrashQuarantine.quarantinedUntil(tables.crashes.snapshot(), listOf(subject), at) != null
    }
}
