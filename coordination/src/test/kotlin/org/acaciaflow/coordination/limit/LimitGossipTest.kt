package org.acaciaflow.coordination.limit

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.NoticeOrigin
import org.acaciaflow.coordination.peer.GatewayIdentity
import org.acaciaflow.coordination.peer.LoadExchange
import org.acaciaflow.coordination.peer.PeerGossip
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.peer.ReportedLimitWord
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LimitGossipTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val server = backend("server")

    /** Guards against gateways that learn a limit only by sending. */
    @Test
    fun `a gateway learns a limit and its end from the reports of a peer`() {
        val (one, other) = gateways()

        one.budget.named(server, "request-1", 4.3, now)
        other.gossip.receive(one.report(now), now)
        one.budget.unnamed(server, "request-2", sentAt = now + 1.seconds, now + 2.seconds)
        other.gossip.receive(one.report(now + 2.seconds), now + 2.seconds)

        other.observations.events.filter { it is Event.BackendLimited || it is Event.BackendLimitEnded } shouldBe
            listOf(
                Event.BackendLimited(server.life, 4.3, NoticeOrigin.Report(one.address)),
                Event.BackendLimitEnded(server.life, NoticeOrigin.Report(one.address)),
            )
    }

    /** Guards against a limit that never gets old, since gateways tell it to each other as new. */
    @Test
    fun `passing a word on does not make it newer`() {
        val (one, other) = gateways()
        one.budget.named(server, "request-1", 4.3, now)

        for (step in 1..40) {
            val at = now + 250.milliseconds * step
            other.gossip.receive(one.report(at), at + 10.milliseconds)
            one.gossip.receive(other.report(at), at + 10.milliseconds)
        }

        val age =
            one
                .report(now + 10.seconds)
                .limits
                .single()
                .age
        age shouldBeGreaterThanOrEqualTo 9.seconds
    }

    /** Guards against a word from a wrong clock that no later answer can replace. */
    @Test
    fun `a word of the future counts as one of now`() {
        val (one, other) = gateways()
        one.budget.named(server, "request-1", 4.3, now)
        val report = one.report(now)
        val early = report.copy(limits = report.limits.set(0, report.limits.first().copy(age = (-1).hours)))

        other.gossip.receive(early, now)
        other.budget.unnamed(server, "request-2", sentAt = now + 1.milliseconds, now + 2.milliseconds)

        other.wordAt() shouldBe LimitWord.Ended(now + 2.milliseconds)
    }

    /** Guards against an answer that was on its way when the server named its limit and that ends it. */
    @Test
    fun `only an answer to a request sent after the word ends a limit`() {
        val (one, _) = gateways()
        one.budget.named(server, "request-1", 4.3, now)

        one.budget.unnamed(server, "request-2", sentAt = now - 1.milliseconds, now + 50.milliseconds)

        one.wordAt() shouldBe LimitWord.Named(4.3, now)
    }

    /** Guards against an older word that a slow report brings after the end of the limit. */
    @Test
    fun `an older word does not replace a newer one`() {
        val (one, other) = gateways()
        one.budget.named(server, "request-1", 4.3, now)
        other.gossip.receive(one.report(now), now)
        other.budget.unnamed(server, "request-2", sentAt = now + 1.seconds, now + 2.seconds)

        other.gossip.receive(one.report(now + 3.seconds), now + 3.seconds)

        other.wordAt() shouldBe LimitWord.Ended(now + 2.seconds)
    }

    /** Guards against limits of servers that are gone. */
    @Test
    fun `the limit of a life ends with it`() {
        val (one, _) = gateways()
        one.budget.named(server, "request-1", 4.3, now)
        one.tables.fleet.update { it.copy(entries = it.entries.clear()) }

        one.report(now + 1.seconds).limits shouldHaveSize 0
        one.wordAt() shouldBe null
    }

    /** Guards against a limit of 0 that no request ever asks about again. */
    @Test
    fun `a limit of nothing lets a request through now and then`() {
        val both = gateways()
        both.forEach { it.budget.named(server, "request-1", 0.0, now) }

        val sent =
            both.sumOf { gateway ->
                (1..4_000).count { gateway.budget.claim(server.life, "request", 0, now + 10.milliseconds * it) }
            }

        sent shouldBe 16 // 0.4 a second for 40 s
        both
            .first()
            .report(now)
            .limits
            .single()
            .word shouldBe ReportedLimitWord.Named(0.0)
    }

    private fun gateways(): List<Gateway> {
        val addresses = listOf(HostAddress("10.0.0.1", 7000), HostAddress("10.0.0.2", 7000))
        return addresses.map { Gateway(it, addresses - it) }
    }

    private inner class Gateway(
        val address: HostAddress,
        others: List<HostAddress>,
    ) {
        val tables = createRelayTables()
        val observations = FakeObservations()
        val budget = LimitBudget(tables, address, observations)
        private val identity = GatewayIdentity(address, 1, DataCentre("north"), capacity = 1.0)
        val gossip = PeerGossip(identity, tables, LoadExchange(identity, tables), observations)

        init {
            tables.fleet.update { it.copy(entries = it.entries.put(server.life.instance, server)) }
            tables.peers.update { it.copy(registered = it.registered.addAll(others)) }
        }

        fun report(at: Instant) = gossip.report(stopping = false, at)

        fun wordAt() =
            tables.limits
                .snapshot()
                .byLife[server.life]
                ?.word
    }
}
