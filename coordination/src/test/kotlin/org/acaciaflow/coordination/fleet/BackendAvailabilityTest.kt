package org.acaciaflow.coordination.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.LeavingOrigin
import org.acaciaflow.coordination.peer.GatewayIdentity
import org.acaciaflow.coordination.peer.LoadExchange
import org.acaciaflow.coordination.peer.PeerGossip
import org.acaciaflow.coordination.port.LeavingNotice
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.OWN_DATA_CENTRE
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.relay.tablesWith
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class BackendAvailabilityTest : AnnotationSpec() {
    private val server = backend("one")
    private val now = Instant.fromEpochSeconds(1_000)

    @Test
    fun `the first notice of a leaving server is logged with its request and denies new work`() {
        val gateway = Gateway("10.0.0.1")
        gateway.permission() shouldBe SendPermission.Granted

        repeat(3) { gateway.availability.noticed(orderFor("request-$it"), LeavingNotice.Leaving) }

        gateway.permission() shouldBe SendPermission.Denied(AttemptRefusal.LEAVING)
        gateway.observations.events shouldContainExactly
            listOf(Event.BackendLeaving(server.life, LeavingOrigin.Answer("request-0")))
    }

    @Test
    fun `an answer without a notice does not undo an earlier one`() {
        val gateway = Gateway("10.0.0.1")

        gateway.availability.noticed(orderFor("request-1"), LeavingNotice.Leaving)
        gateway.availability.noticed(orderFor("request-2"), LeavingNotice.Absent)

        gateway.permission() shouldBe SendPermission.Denied(AttemptRefusal.LEAVING)
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
        gateway.tables.fleet.update { FleetChanges.registered(it, next, revision = 2) }

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
            listOf(Event.BackendLeaving(server.life, LeavingOrigin.Report(HostAddress("10.0.0.1", 1))))
    }

    private fun orderFor(requestId: String) =
        RunOrder(
            backend = server,
            call = CallHead("POST", "/", persistentListOf()),
            requestId = requestId,
            timeLeft = 1.seconds,
            urgency = 0,
            resumeAfter = null,
            source = null,
        )

    private inner class Gateway(
        ip: String,
    ) {
        val tables = tablesWith(route(RequestKind.Idempotent), listOf(server))
        val observations = FakeObservations()
        val availability = BackendAvailability(tables.fleet, tables.notices, observations)
        private val identity = GatewayIdentity(HostAddress(ip, 1), now.toEpochMilliseconds(), OWN_DATA_CENTRE, 1.0)
        val gossip = PeerGossip(identity, tables, LoadExchange(identity, tables), observations)

        fun permission() = availability.permissionFor(server)
    }
}
