package org.acaciaflow.coordination.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.relay.ENGINE_POOL
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.relay.tablesWith
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.peer.LoadScope
import org.acaciaflow.state.peer.LoadShare
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LoadExchangeTest : AnnotationSpec() {
    private val engine = backend("engine", ENGINE_POOL, EngineRole.PREFILL)
    private val start = Instant.fromEpochSeconds(1_000)

    @Test
    fun `every gateway learns the load of all others within three intervals`() {
        val fleet = fleetOf("north" to 4, "south" to 3, "east" to 1)
        fleet.introduce(start)
        fleet.gateways.forEachIndexed { index, gateway -> gateway.sendJobs(engine.life, index + 1, start) }

        val end = fleet.exchange(start, rounds = 4)

        val total = fleet.gateways.indices.sumOf { it + 1 }
        fleet.gateways.map {
            it.tables.load
                .snapshot()
                .runningAt(engine.life)
        } shouldBe fleet.gateways.map { total }
        val oldest =
            fleet.gateways.maxOf {
                it.tables.load
                    .snapshot()
                    .remoteAge(end)
            }
        (oldest <= INTERVAL * 3) shouldBe true
    }

    @Test
    fun `the load of a gateway is not counted twice while two of them aggregate`() {
        val fleet = fleetOf("north" to 3)
        fleet.gateways.forEach { it.sendJobs(engine.life, 2, start) }
        fleet.introduce(start)
        val smallest = fleet.gateways.last()
        smallest.tables.peers.update {
            it.copy(
                live =
                    it.live.remove(
                        fleet.gateways
                            .first()
                            .identity.address,
                    ),
            )
        }

        fleet.exchange(start, rounds = 4)

        fleet.gateways.first().running() shouldBe 6
        fleet.gateways[1].running() shouldBe 6
        smallest.running() shouldBe 6
    }

    @Test
    fun `another gateway aggregates when the aggregator no longer responds`() {
        val fleet = fleetOf("north" to 3)
        fleet.introduce(start)
        val (first, second, third) = fleet.gateways
        first.paused = true
        second.sendJobs(engine.life, 5, start)

        fleet.exchange(start, rounds = 20)

        third.running() shouldBe 5
    }

    @Test
    fun `a stopping gateway does not aggregate, and its running work still counts`() {
        val fleet = fleetOf("north" to 3)
        val (first, second, third) = fleet.gateways
        first.stopping = true
        fleet.introduce(start)
        first.sendJobs(engine.life, 4, start)

        fleet.exchange(start, rounds = 4)

        second.running() shouldBe 4
        third.running() shouldBe 4
    }

    @Test
    fun `the messages of a gateway do not grow with the number of data centres times their size`() {
        val fleet = fleetOf(*(1..12).map { "centre-$it" to 32 }.toTypedArray())
        fleet.introduce(start)

        fleet.exchange(start, rounds = 3)

        fleet.gateways.maxOf { it.exchange.messages(false, start + INTERVAL * 3).size } shouldBeLessThanOrEqual 31 + 11
        fleet.gateways.count { it.exchange.messages(false, start + INTERVAL * 3).size > 1 } shouldBe 12
    }

    @Test
    fun `a late copy of an older message changes nothing`() {
        val fleet = fleetOf("north" to 2)
        fleet.introduce(start)
        val (first, second) = fleet.gateways
        second.sendJobs(engine.life, 3, start)
        val old =
            second.exchange
                .messages(false, start)
                .single()
                .second
        second.sendJobs(engine.life, 2, start)
        val new =
            second.exchange
                .messages(false, start)
                .single()
                .second

        first.exchange.receive(new, start)
        first.exchange.receive(old, start)
        first.exchange.messages(false, start)

        first.running() shouldBe 5
    }

    /** Guards against one message with a sequence number far ahead that makes all later ones of its sender void. */
    @Test
    fun `a message with a sequence number far ahead delays those of its sender by a second at most`() {
        val tables = createRelayTables()
        val receiver =
            LoadExchange(GatewayIdentity(HostAddress("10.0.0.1", 7000), 1, DataCentre("north"), 1.0), tables)
        val sums = listOf(LoadScope.Sender, LoadScope.WholeDataCentre(DataCentre("south")), LoadScope.AllOthers)
        for (scope in sums) receiver.receive(share(scope, Long.MAX_VALUE), start)

        val later = start + 1.seconds
        for (scope in sums) receiver.receive(share(scope, sequence = 12), later)

        val sources = tables.load.snapshot().sources
        listOf(
            sources.members.values
                .single()
                .receivedAt,
            sources.dataCentres.values
                .single()
                .source.receivedAt,
            sources.others?.receivedAt,
        ) shouldBe listOf(later, later, later)
    }

    private fun share(
        scope: LoadScope,
        sequence: Long,
    ) = LoadShare(HostAddress("10.0.0.2", 7000), 1, sequence, scope, Duration.ZERO, persistentListOf())

    @Test
    fun `a gateway that is silent is forgotten together with its load`() {
        val fleet = fleetOf("north" to 2)
        fleet.introduce(start)
        val (first, second) = fleet.gateways
        second.sendJobs(engine.life, 3, start)
        fleet.introduce(start)
        first.exchange.messages(false, start)
        first.running() shouldBe 3

        val later = start + 4.seconds
        first.gossip.removeSilentPeers(later)
        first.exchange.messages(false, later)

        first.running() shouldBe 0
        first.tables.peers
            .snapshot()
            .live.keys
            .shouldBeEmpty()
    }

    @Test
    fun `late reports of a stopping gateway do not make it serve again`() {
        val fleet = fleetOf("north" to 2)
        fleet.introduce(start)
        val (first, second) = fleet.gateways
        second.stopping = true

        repeat(3) { first.gossip.receive(second.report(start), start + 100.milliseconds * it) }

        first.tables.peers
            .snapshot()
            .servingCount shouldBe 0
        first.observations.events.count { it is Event.PeerHeard } shouldBe 1
    }

    private fun fleetOf(vararg dataCentres: Pair<String, Int>): ExchangingFleet {
        val gateways =
            dataCentres.flatMapIndexed { centre, (name, size) ->
                (1..size).map { index ->
                    val address = HostAddress("10.$centre.0.$index", 7000)
                    ExchangingGateway(
                        GatewayIdentity(address, 1, DataCentre(name), capacity = 1.0 + size - index),
                        engine,
                    )
                }
            }
        return ExchangingFleet(gateways)
    }

    private class ExchangingFleet(
        val gateways: List<ExchangingGateway>,
    ) {
        private val byAddress = gateways.associateBy { it.identity.address }

        /** Delivers a periodic report of each gateway to all others. */
        fun introduce(now: Instant) {
            for (gateway in gateways) {
                val report = gateway.report(now)
                gateways.forEach { it.gossip.receive(report, now) }
            }
        }

        /** Lets all gateways exchange loads for [rounds] intervals; returns the time afterwards. */
        fun exchange(
            from: Instant,
            rounds: Int,
        ): Instant {
            var now = from
            repeat(rounds) {
                for (gateway in gateways.filterNot { it.paused }) {
                    for ((receiver, share) in gateway.exchange.messages(gateway.stopping, now)) {
                        byAddress
                            .getValue(receiver)
                            .takeUnless { it.paused }
                            ?.exchange
                            ?.receive(share, now)
                    }
                }
                now += INTERVAL
            }
            return now
        }
    }

    private class ExchangingGateway(
        val identity: GatewayIdentity,
        engine: BackendEntry,
    ) {
        val tables: RelayTables = tablesWith(route(RequestKind.EventStream(true)), listOf(engine))
        val observations = FakeObservations()
        val exchange = LoadExchange(identity, tables)
        val gossip = PeerGossip(identity, tables, exchange, observations)
        var paused = false
        var stopping = false
        private var jobs = 0L

        fun sendJobs(
            life: BackendLife,
            count: Int,
            now: Instant,
        ) = repeat(count) {
            tables.load.update { LoadLedger.sent(it, life, JobIdentity(jobs++), 10.milliseconds, 100, now) }
        }

        fun report(now: Instant): PeerReport = gossip.report(stopping, now)

        fun running(): Int {
            val load = tables.load.snapshot()
            return (load.own.keys + load.remote.keys).sumOf { load.runningAt(it) }
        }
    }

    private companion object {
        val INTERVAL: Duration = 60.milliseconds
    }
}
