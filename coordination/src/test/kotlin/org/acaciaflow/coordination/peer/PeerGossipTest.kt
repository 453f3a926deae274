package org.acaciaflow.coordination.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PeerGossipTest : AnnotationSpec() {
    private val start = Instant.fromEpochSeconds(1_000)

    /** Guards against a gateway that is ignored since its clock was set back while it restarted. */
    @Test
    fun `a gateway that restarts with an earlier start time is heard within a second and a half`() {
        val receiver = Receiver()
        receiver.hear(identity(startedAt = 9_000), reports = 20, from = start)
        val restartedAt = start + INTERVAL * 20

        val heardAfter = receiver.delayUntilHeard(identity(startedAt = 1_000), restartedAt, version = 9)

        heardAfter shouldBeLessThanOrEqualTo 1.5.seconds
    }

    /** Guards against one report with a start time far ahead that makes all later ones of its address void. */
    @Test
    fun `a report with a start time far ahead delays those of its address by a second and a half at most`() {
        val receiver = Receiver()
        val sender = identity(startedAt = 1_000)
        receiver.hear(sender, reports = 20, from = start)
        receiver.hear(identity(startedAt = Long.MAX_VALUE), reports = 1, from = start + INTERVAL * 20)

        val heardAfter = receiver.delayUntilHeard(sender, start + INTERVAL * 21, version = 9)

        heardAfter shouldBeLessThanOrEqualTo 1.5.seconds
    }

    /** Guards against one report with a sequence number far ahead that makes all later ones of its sender void. */
    @Test
    fun `a report with a sequence number far ahead delays those of its sender by a second and a half at most`() {
        val receiver = Receiver()
        val sender = identity(startedAt = 1_000)
        receiver.hear(sender, reports = 20, from = start)
        val farAhead = reportsOf(sender).report(stopping = false, start).copy(sequence = Long.MAX_VALUE)
        receiver.gossip.receive(farAhead, start + INTERVAL * 20)

        val heardAfter = receiver.delayUntilHeard(sender, start + INTERVAL * 21, version = 9)

        heardAfter shouldBeLessThanOrEqualTo 1.5.seconds
    }

    /** Guards against a late copy of an older report that replaces a newer one. */
    @Test
    fun `a late copy of an older report is ignored, also one of a former life`() {
        val receiver = Receiver()
        val sender = identity(startedAt = 2_000)
        val reports = reportsOf(sender)
        val older = reports.report(stopping = false, start).copy(configurationVersion = 3)
        val former = older.copy(startedAtMilliseconds = 1_000, sequence = 500)
        repeat(20) { receiver.gossip.receive(reports.report(stopping = false, start), start + INTERVAL * it) }

        receiver.gossip.receive(older, start + INTERVAL * 19 + 900.milliseconds)
        receiver.gossip.receive(former, start + INTERVAL * 19 + 900.milliseconds)

        receiver.versionOf(sender) shouldBe -1
    }

    /** Guards against peers that are taken for silent between two reports, since many peers make reports rare. */
    @Test
    fun `a peer among 390 is not silent before three of its reports are missing`() {
        val receiver = Receiver()
        receiver.register((0 until 390).map { HostAddress("10.1.${it / 250}.${it % 250}", 7000) })
        val sender = identity(startedAt = 1_000)
        receiver.hear(sender, reports = 1, from = start)

        receiver.gossip.removeSilentPeers(start + 35.seconds)
        receiver.versionOf(sender) shouldBe -1

        receiver.gossip.removeSilentPeers(start + 36.seconds)
        receiver.versionOf(sender) shouldBe null
    }

    private inner class Receiver {
        private val tables = createRelayTables()
        private val identity = identity(startedAt = 1).copy(address = HostAddress("10.0.0.9", 7000))
        val gossip = PeerGossip(identity, tables, LoadExchange(identity, tables), FakeObservations())

        fun register(addresses: List<HostAddress>) {
            tables.peers.update { it.copy(registered = it.registered.addAll(addresses)) }
        }

        fun hear(
            sender: GatewayIdentity,
            reports: Int,
            from: Instant,
        ) {
            val source = reportsOf(sender)
            repeat(reports) { gossip.receive(source.report(stopping = false, from), from + INTERVAL * it) }
        }

        /** Receives reports with [version] from [sender] until one is applied; returns the time that this took. */
        fun delayUntilHeard(
            sender: GatewayIdentity,
            from: Instant,
            version: Long,
        ): Duration {
            val source = reportsOf(sender)
            repeat(20) { source.report(stopping = false, from) }
            var at = from
            while (versionOf(sender) != version && at < from + 60.seconds) {
                at += INTERVAL
                gossip.removeSilentPeers(at)
                gossip.receive(source.report(stopping = false, at).copy(configurationVersion = version), at)
            }
            return at - from
        }

        fun versionOf(sender: GatewayIdentity): Long? =
            tables.peers
                .snapshot()
                .live[sender.address]
                ?.configurationVersion
    }

    private fun identity(startedAt: Long) =
        GatewayIdentity(HostAddress("10.0.0.1", 7000), startedAt, DataCentre("north"), capacity = 1.0)

    private fun reportsOf(sender: GatewayIdentity): PeerGossip {
        val tables = createRelayTables()
        return PeerGossip(sender, tables, LoadExchange(sender, tables), FakeObservations())
    }

    private companion object {
        val INTERVAL: Duration = 250.milliseconds
    }
}
