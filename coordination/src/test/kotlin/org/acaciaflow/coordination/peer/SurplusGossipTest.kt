package org.acaciaflow.coordination.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.IsolationOrigin
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.state.connection.AnswerScope
import org.acaciaflow.state.connection.SecondForms
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedSurplus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SurplusGossipTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val servers = (1..100).map { backend("server-$it") }
    private val life = servers.first().life

    /** Guards against gateways that learn one by one, each from a wrong answer to its own caller, that a server answers twice. */
    @Test
    fun `a gateway learns from a peer that a server is isolated, and for how long`() {
        val seeing = Gateway("10.0.0.1")
        val learning = Gateway("10.0.0.2")
        seeing.seen(life, now)

        learning.gossip.receive(seeing.reportAt(now + 10.seconds), now + 10.seconds)

        learning.isIsolated(now + 29.seconds) shouldBe true
        learning.isIsolated(now + 30.seconds) shouldBe false
    }

    /** Guards against a gateway that has just started and sends plain calls to a server that all others still isolate. */
    @Test
    fun `a gateway that has just started isolates a server for as long as the others`() {
        val seeing = Gateway("10.0.0.1")
        val starting = Gateway("10.0.0.2")
        seeing.seen(life, now)
        seeing.seen(life, now + 30.seconds)
        seeing.seen(life, now + 90.seconds)
        val at = now + 150.seconds

        starting.gossip.receive(seeing.reportAt(at), at)

        seeing.isIsolated(at) shouldBe true
        starting.isIsolated(at) shouldBe true
    }

    /** Guards against isolations that gateways renew for each other for ever by passing them on, each with a delay. */
    @Test
    fun `a surplus answer that is told around is not renewed`() {
        val gateways = (1..3).map { Gateway("10.0.0.$it") }
        gateways.first().seen(life, now)

        exchange(gateways, from = now, rounds = 100, delay = 300.milliseconds)

        gateways.forEach { it.isIsolated(now + 29.seconds) shouldBe true }
        gateways.forEach { it.isIsolated(now + 31.seconds) shouldBe false }
        gateways.flatMap { it.observations.events.filterIsInstance<Event.BackendIsolated>() }.size shouldBe 2
    }

    /** Guards against a late copy of a report, or a replayed one, that isolates a server again. */
    @Test
    fun `a replayed report does not renew the isolation`() {
        val seeing = Gateway("10.0.0.1")
        val learning = Gateway("10.0.0.2")
        seeing.seen(life, now)
        val old = seeing.reportAt(now)
        learning.gossip.receive(old, now)
        for (tick in 1..160) {
            val at = now + 250.milliseconds * tick
            learning.gossip.receive(seeing.reportAt(at), at)
            learning.gossip.receive(old, at + 100.milliseconds)
        }

        learning.isIsolated(now + 29.seconds) shouldBe true
        learning.isIsolated(now + 30.seconds) shouldBe false
    }

    @Test
    fun `lives that are not registered and lives of other servers are left alone`() {
        val gateway = Gateway("10.0.0.2")
        val code = BackendLife("elsewhere", 1).code
        val foreign = ReportedSurplus(code, age = 1.seconds, isolationTime = 30.seconds, persistentListOf(1L))
        val report = Gateway("10.0.0.1").reportAt(now).copy(surplus = persistentListOf(foreign))

        gateway.gossip.receive(report, now)

        gateway.tables.surplus
            .snapshot()
            .byLife.keys
            .shouldBeEmpty()
        gateway.tables.forms
            .snapshot()
            .second.keys
            .shouldBeEmpty()
        gateway.observations.events
            .filterIsInstance<Event.BackendIsolated>()
            .shouldBeEmpty()
    }

    /** Guards against a log line for each report while the isolation lasts. */
    @Test
    fun `an isolation that was learned from a peer is logged once, with its origin`() {
        val seeing = Gateway("10.0.0.1")
        val learning = Gateway("10.0.0.2")
        for (tick in 0..40) {
            val at = now + 250.milliseconds * tick
            seeing.seen(life, at)
            learning.gossip.receive(seeing.reportAt(at), at + 5.milliseconds)
        }

        learning.observations.events.filterIsInstance<Event.BackendIsolated>() shouldContainExactly
            listOf(Event.BackendIsolated(life, 30.seconds, IsolationOrigin.Report(HostAddress("10.0.0.1", 7000))))
    }

    /** Guards against a wrong success at a gateway that has seen no second answer itself. */
    @Test
    fun `a gateway learns from a peer which form the second answers have, and does not pass it on`() {
        val gateways = (1..3).map { Gateway("10.0.0.$it") }
        gateways.first().seen(life, now)
        gateways
            .first()
            .tables.forms
            .update { it.copy(second = it.second.put(life, secondForms(now, BARE))) }
        val report = gateways[0].reportAt(now + 1.seconds)

        gateways[1].gossip.receive(report, now + 1.seconds)
        gateways[1].seen(life, now + 1.seconds)
        val second = gateways[1].reportAt(now + 2.seconds)

        report.surplus.single().forms shouldBe listOf(BARE)
        second.surplus.single().forms shouldBe emptyList()
        gateways[1]
            .tables.forms
            .snapshot()
            .second[life]
            ?.told shouldBe persistentHashMapOf(BARE to now)
    }

    /** Guards against peers that don't believe the true answers of a pool. */
    @Test
    fun `a form that is usual at the sender is not told, and at most four are`() {
        val seeing = Gateway("10.0.0.1")
        val scope = AnswerScope(PoolName("pool"), RouteName("route"), "GET")
        seeing.seen(life, now)
        seeing.tables.forms.update {
            it.copy(
                passedOn = it.passedOn.put(scope, persistentHashMapOf(BARE to 8)),
                second = it.second.put(life, secondForms(now, BARE, 11, 12, 13, 14, 15)),
            )
        }

        val told =
            seeing
                .reportAt(now + 1.seconds)
                .surplus
                .single()
                .forms

        told.size shouldBe 4
        told shouldNotContain BARE
    }

    /** Guards against a form that is distrusted for ever since gateways tell each other of it. */
    @Test
    fun `a form is told while its own sighting is remembered`() {
        val seeing = Gateway("10.0.0.1")
        seeing.tables.forms.update { it.copy(second = it.second.put(life, secondForms(now, BARE))) }
        val later = now + ConnectionIsolation.MEMORY_TIME
        seeing.seen(life, later)

        seeing
            .reportAt(later)
            .surplus
            .single()
            .forms shouldBe emptyList()
    }

    private fun secondForms(
        at: Instant,
        vararg forms: Long,
    ): SecondForms =
        forms.fold(SecondForms.NONE) { known, form -> known.copy(differing = known.differing.put(form, at)) }

    /** Guards against reports that outgrow their datagram. */
    @Test
    fun `a report has the 64 newest surplus answers`() {
        val seeing = Gateway("10.0.0.1")
        servers.forEachIndexed { index, server -> seeing.seen(server.life, now + 10.milliseconds * index) }

        val reported = seeing.reportAt(now + 1.seconds).surplus

        reported.map { it.lifeCode } shouldContainExactly servers.reversed().take(64).map { it.life.code }
        reported.first().age shouldBe 10.milliseconds
    }

    private fun exchange(
        gateways: List<Gateway>,
        from: Instant,
        rounds: Int,
        delay: Duration,
    ) = repeat(rounds) { round ->
        val at = from + 250.milliseconds * round
        val reports = gateways.map { it.reportAt(at) }
        for (gateway in gateways) reports.forEach { gateway.gossip.receive(it, at + delay) }
    }

    private companion object {
        const val BARE = 7L
    }

    private inner class Gateway(
        ip: String,
    ) {
        private val identity =
            GatewayIdentity(HostAddress(ip, 7000), startedAtMilliseconds = 1, DataCentre("north"), capacity = 1.0)
        val tables = createRelayTables()
        val observations = FakeObservations()
        val gossip = PeerGossip(identity, tables, LoadExchange(identity, tables), observations)

        init {
            val entries = servers.associateBy { it.life.instance }
            tables.fleet.update { it.copy(entries = it.entries.putAll(entries)) }
        }

        fun seen(
            life: BackendLife,
            at: Instant,
        ) {
            tables.surplus.update { ConnectionIsolation.surplusSeen(it, life, at) }
        }

        fun reportAt(at: Instant): PeerReport = gossip.report(stopping = false, at)

        fun isIsolated(at: Instant): Boolean = ConnectionIsolation.isIsolated(tables.surplus.snapshot(), life, at)
    }
}
