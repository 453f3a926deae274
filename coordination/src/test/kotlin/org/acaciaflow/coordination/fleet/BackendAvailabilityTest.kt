package org.acaciaflow.coordination.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.NoticeOrigin
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.peer.GatewayIdentity
import org.acaciaflow.coordination.peer.LoadExchange
import org.acaciaflow.coordination.peer.PeerGossip
import org.acaciaflow.coordination.port.LeavingNotice
import org.acaciaflow.coordination.port.RestNotice
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.OWN_DATA_CENTRE
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.relay.tablesWith
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.work.CallHead
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class BackendAvailabilityTest : AnnotationSpec() {
    private val server = backend("one")
    private var now = Instant.fromEpochSeconds(1_000)
    private val clock =
        object : Clock {
            override fun now() = this@BackendAvailabilityTest.now
        }

    @Test
    fun `the first notice of a leaving server is logged with its request and denies new work`() {
        val gateway = Gateway("10.0.0.1")
        gateway.permission() shouldBe SendPermission.Granted

        repeat(3) { gateway.availability.noticed(orderFor("request-$it"), LeavingNotice.Leaving) }

        gateway.permission() shouldBe SendPermission.Denied(AttemptRefusal.LEAVING)
        gateway.observations.events shouldContainExactly
            listOf(Event.BackendLeaving(server.life, NoticeOrigin.Answer("request-0")))
    }

    @Test
    fun `an answer without a notice does not undo an earlier one`() {
        val gateway = Gateway("10.0.0.1")

        gateway.availability.noticed(orderFor("request-1"), LeavingNotice.Leaving)
        gateway.availability.noticed(orderFor("request-2"), LeavingNotice.Absent)

        gateway.permission() shouldBe SendPermission.Denied(AttemptRefusal.LEAVING)
    }

    /** Guards against a request that waits for a connection past its deadline and is sent on all the same. */
    @Test
    fun `a request may not be sent from its deadline on`() {
        val gateway = Gateway("10.0.0.1")
        val order = orderFor("request-1").copy(deadline = now)

        gateway.availability.permissionFor(order) shouldBe SendPermission.Denied(AttemptRefusal.OVERDUE)
        gateway.availability.permissionFor(order.copy(deadline = now + 1.milliseconds)) shouldBe SendPermission.Granted
    }

    @Test
    fun `unreadable notices are counted, logged once for each lifetime and otherwise ignored`() {
        val gateway = Gateway("10.0.0.1")

        repeat(100) { gateway.availability.noticed(orderFor("request-$it"), LeavingNotice.Unreadable("yes")) }

        gateway.permission() shouldBe SendPermission.Granted
        gateway.observations.unreadableNotices shouldBe 100
        gateway.observations.events shouldContainExactly
            listOf(Event.BackendNoticeUnreadable(server.life, "request-0", "yes"))
    }

    @Test
    fun `the lifetimes whose unreadable notices were logged are forgotten with their entries`() {
        val gateway = Gateway("10.0.0.1")
        gateway.availability.noticed(orderFor("request-1"), LeavingNotice.Unreadable("yes"))
        val next = server.copy(life = server.life.copy(startedAtMilliseconds = 2))
        gateway.tables.fleet.update { FleetChanges.registered(it, next, revisionAt(2)) }

        gateway.availability.noticed(orderFor("request-2").copy(backend = next), LeavingNotice.Unreadable("yes"))

        gateway.tables.notices
            .snapshot()
            .unreadableLogged shouldBe setOf(next.life)
    }

    @Test
    fun `a notice reaches other gateways with the next report and none of their reports undoes it`() {
        val first = Gateway("10.0.0.1")
        val second = Gateway("10.0.0.2")
        first.availability.noticed(orderFor("request-1"), LeavingNotice.Leaving)

        first.gossip.receive(second.gossip.report(stopping = false, now), now)
        second.gossip.receive(first.gossip.report(stopping = false, now), now)

        first.permission() shouldBe SendPermission.Denied(AttemptRefusal.LEAVING)
        second.permission() shouldBe SendPermission.Denied(AttemptRefusal.LEAVING)
        second.observations.events.filterIsInstance<Event.BackendLeaving>() shouldContainExactly
            listOf(Event.BackendLeaving(server.life, NoticeOrigin.Report(HostAddress("10.0.0.1", 1))))
    }

    @Test
    fun `a resting server gets no request until its time is over, then one, then all`() {
        val gateway = Gateway("10.0.0.1")
        val start = now
        gateway.availability.noticed(orderFor("request-1"), RestNotice.Resting(4.seconds), refused = true)

        now = start + 3999.milliseconds
        gateway.permission("request-2") shouldBe SendPermission.Denied(AttemptRefusal.RESTING)
        now = start + 5.seconds
        gateway.permission("request-2") shouldBe SendPermission.GrantedAsTrial
        gateway.permission("request-2") shouldBe SendPermission.GrantedAsTrial
        gateway.permission("request-3") shouldBe SendPermission.Denied(AttemptRefusal.RESTING)
        gateway.availability.noticed(orderFor("request-2"), RestNotice.Absent, refused = false)

        gateway.permission("request-3") shouldBe SendPermission.Granted
        gateway.observations.events shouldContainExactly
            listOf(Event.BackendResting(server.life, "request-1", 4.seconds))
    }

    @Test
    fun `a longer word extends a rest and a shorter one does not shorten it`() {
        val gateway = Gateway("10.0.0.1")
        val start = now
        listOf(10, 2, 60).forEach {
            gateway.availability.noticed(orderFor("request-$it"), RestNotice.Resting(it.seconds), refused = true)
        }
        gateway.availability.noticed(orderFor("request-4"), RestNotice.Resting(1.seconds), refused = true)

        now = start + 59.seconds

        gateway.permission() shouldBe SendPermission.Denied(AttemptRefusal.RESTING)
    }

    @Test
    fun `an answer to a request sent before a rest does not end it`() {
        val gateway = Gateway("10.0.0.1")
        gateway.availability.noticed(orderFor("request-1"), RestNotice.Resting(4.seconds), refused = true)

        gateway.availability.noticed(orderFor("request-0"), RestNotice.Absent, refused = false)

        gateway.permission() shouldBe SendPermission.Denied(AttemptRefusal.RESTING)
    }

    @Test
    fun `a trial that is refused or not answered lets the next request try, one at a time`() {
        val gateway = Gateway("10.0.0.1")
        gateway.availability.noticed(orderFor("request-1"), RestNotice.Resting(4.seconds), refused = true)
        now += 6.seconds
        gateway.permission("request-2") shouldBe SendPermission.GrantedAsTrial
        gateway.availability.noticed(orderFor("request-2"), RestNotice.Absent, refused = true)

        gateway.permission("request-3") shouldBe SendPermission.GrantedAsTrial
        gateway.permission("request-4") shouldBe SendPermission.Denied(AttemptRefusal.RESTING)
        now += 1.seconds
        gateway.permission("request-4") shouldBe SendPermission.GrantedAsTrial
        gateway.permission("request-3") shouldBe SendPermission.Denied(AttemptRefusal.RESTING)
    }

    @Test
    fun `a new lifetime at the address of a resting server gets requests`() {
        val gateway = Gateway("10.0.0.1")
        gateway.availability.noticed(orderFor("request-1"), RestNotice.Resting(4.seconds), refused = true)
        val reborn = server.copy(life = server.life.copy(startedAtMilliseconds = 2))

        gateway.availability.permissionFor(orderFor("request-2").copy(backend = reborn)) shouldBe SendPermission.Granted
    }

    @Test
    fun `the rests of servers that left are forgotten`() {
        val gateway = Gateway("10.0.0.1")
        repeat(1_000) { number ->
            val other = server.copy(life = server.life.copy(instance = "server-$number"))
            val order = orderFor("request-$number").copy(backend = other)
            gateway.availability.noticed(order, RestNotice.Resting(1.seconds), refused = true)
            now += 1.seconds
        }

        (
            gateway.tables.notices
                .snapshot()
                .rests.size < 70
        ) shouldBe true
    }

    /** Guards against gateways that are turned away together and return together, each with all its requests. */
    @Test
    fun `gateways and requests turned away together do not return together`() {
        val gateways = List(390) { Gateway("10.0.${it / 250}.${it % 250}", seed = it) }
        gateways.forEach {
            it.availability.noticed(
                orderFor("request-0"),
                RestNotice.Resting(10.seconds),
                refused = true,
            )
        }
        val start = now
        val sends = mutableMapOf<Gateway, Instant>()

        while (now < start + 12.seconds) {
            for (gateway in gateways - sends.keys) {
                val permitted = (1..3).count { gateway.permission("request-$it") !is SendPermission.Denied }
                if (permitted == 0) continue
                permitted shouldBe 1
                sends[gateway] = now
            }
            now += 10.milliseconds
        }

        val busiest =
            sends.values
                .groupingBy { (it - start).inWholeMilliseconds / 100 }
                .eachCount()
                .values
                .max()
        println("gateways that return in the busiest tenth of a second: $busiest of ${sends.size}")
        sends.size shouldBe gateways.size
        (sends.values.min() >= start + 10.seconds) shouldBe true
        (busiest <= gateways.size / 5) shouldBe true
    }

    private fun orderFor(requestId: String) =
        RunOrder(
            backend = server,
            call = CallHead("POST", "/", persistentListOf()),
            requestId = requestId,
            timeLeft = 1.seconds,
            deadline = Instant.DISTANT_FUTURE,
            urgency = 0,
            resumeAfter = null,
            source = null,
            expectsEvents = false,
            repeatable = true,
            route = RouteName("route"),
        )

    private inner class Gateway(
        ip: String,
        seed: Int = 3,
    ) {
        val tables = tablesWith(route(RequestKind.Idempotent), listOf(server))
        val observations = FakeObservations()
        val budget = LimitBudget(tables, self = null, observations)
        val availability = BackendAvailability(tables.fleet, tables.notices, budget, observations, clock, Random(seed))
        private val identity = GatewayIdentity(HostAddress(ip, 1), now.toEpochMilliseconds(), OWN_DATA_CENTRE, 1.0)
        val gossip = PeerGossip(identity, tables, LoadExchange(identity, tables), observations)

        fun permission(requestId: String = "any") = availability.permissionFor(orderFor(requestId))
    }
}
