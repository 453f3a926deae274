package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.LeavingNotice
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** Guards against requests that reach a backend server after the head of an answer in which it says it is leaving. */
class LeavingBackendTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"))
    private val engines =
        listOf(
            backend("prefill", ENGINE_POOL, EngineRole.PREFILL),
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
            backend("decode-2", ENGINE_POOL, EngineRole.DECODE),
        )
    private val longPrompt = Prompt(persistentListOf(PromptPart(7, 12_000)), 12_000, 10)

    @Test
    fun `a request whose server is seen leaving before it is sent goes to another one`() =
        runTest {
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.AtMostOnce, maximumAttempts = 1), services)
            fleet.beforeSending = { order -> fleet.notice(order, LeavingNotice.Leaving) }
            val caller = FakeCaller()

            createTestRelay(fleet.tables, fleet, null).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            fleet.sent shouldHaveSize 1
            fleet.denied.single() shouldNotBe fleet.sent.single()
        }

    @Test
    fun `a decode engine seen leaving before it is sent to is replaced and the KV cache stays in use`() =
        runTest {
            val fleet =
                NoticingFleet(virtualClock(), route(RequestKind.Idempotent, ENGINE_POOL, maximumAttempts = 1), engines)
            fleet.beforeSending = { order -> if (order.source != null) fleet.notice(order, LeavingNotice.Leaving) }
            val caller = FakeCaller()

            createTestRelay(fleet.tables, fleet, longPrompt).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            fleet.prefilled shouldHaveSize 1
            fleet.sent.single() shouldNotBe fleet.denied.single()
            fleet.scripted.orders
                .single()
                .source
                ?.handle shouldBe "handle"
            fleet.scripted.released.shouldBeEmpty()
        }

    @Test
    fun `an engine that says it is leaving when it cannot fetch the KV cache does not get the prompt itself`() =
        runTest {
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.Idempotent, ENGINE_POOL), engines)
            fleet.reactions += Reaction.Refuses(AttemptRefusal.CACHE_UNAVAILABLE)
            fleet.afterHead = { order -> if (fleet.sent.size == 1) fleet.notice(order, LeavingNotice.Leaving) }
            val caller = FakeCaller()

            createTestRelay(fleet.tables, fleet, longPrompt).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            fleet.sent shouldHaveSize 2
            fleet.sent.distinct() shouldHaveSize 2
        }

    @Test
    fun `a prefill engine that says it is leaving gives its KV cache and gets no further prefill`() =
        runTest {
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.Idempotent, ENGINE_POOL), engines)
            fleet.afterPrefill = { order -> fleet.notice(order, LeavingNotice.Leaving) }
            val relay = createTestRelay(fleet.tables, fleet, longPrompt)
            val callers = List(2) { FakeCaller("/calls/$it") }

            callers.forEach { relay.accept(it) }

            callers.map { it.status } shouldBe listOf(ScriptedConnections.OK, ScriptedConnections.OK)
            fleet.prefilled shouldHaveSize 1
            fleet.scripted.orders.map { it.source?.handle } shouldBe listOf("handle", null)
        }

    @Test
    fun `a prefill engine seen leaving before it is sent to gets no prefill`() =
        runTest {
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.Idempotent, ENGINE_POOL), engines)
            fleet.beforePrefill = { order -> fleet.notice(order, LeavingNotice.Leaving) }
            val caller = FakeCaller()

            createTestRelay(fleet.tables, fleet, longPrompt).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            fleet.prefilled.shouldBeEmpty()
            fleet.scripted.orders
                .single()
                .source shouldBe null
        }

    @Test
    fun `a stream in progress at a server that says it is leaving is delivered to its end`() =
        runTest {
            val fleet =
                NoticingFleet(
                    virtualClock(),
                    route(RequestKind.EventStream(resumable = true)),
                    listOf(services.first()),
                )
            fleet.reactions += Reaction.Paces(List(8) { ('a' + it).toString() }, 50.milliseconds, endless = false)
            val caller = FakeCaller()
            val later = FakeCaller("/calls/2")
            val relay = createTestRelay(fleet.tables, fleet, null)

            val running = launch { relay.accept(caller) }
            delay(120.milliseconds)
            fleet.markLeaving(services.first())
            relay.accept(later)
            running.join()

            caller.text shouldBe "abcdefgh"
            caller.ended shouldBe true
            later.refusal shouldBe NotRun.NO_BACKEND
            fleet.sent shouldHaveSize 1
        }

    @Test
    fun `a stream that breaks off at a leaving server goes on at another one`() =
        runTest {
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.EventStream(resumable = true)), services)
            fleet.reactions += listOf(Reaction.Streams(breakAt = 'd'), Reaction.Streams(breakAt = null))
            fleet.afterHead = { order -> if (fleet.sent.size == 1) fleet.notice(order, LeavingNotice.Leaving) }
            val caller = FakeCaller()

            createTestRelay(fleet.tables, fleet, null).accept(caller)

            caller.text shouldBe "abcdefgh"
            fleet.sent.distinct() shouldHaveSize 2
        }

    @Test
    fun `a request whose servers are all leaving is refused at once as not run`() =
        runTest {
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.Idempotent), services)
            services.forEach { fleet.markLeaving(it) }
            val caller = FakeCaller()
            val startedAt = virtualClock().now()

            createTestRelay(fleet.tables, fleet, null).accept(caller)

            caller.refusal shouldBe NotRun.NO_BACKEND
            virtualClock().now() shouldBe startedAt
            fleet.sent.shouldBeEmpty()
        }

    @Test
    fun `a store that calls a leaving server ready does not bring it back, and a new lifetime gets work`() =
        runTest {
            val old = services.first()
            val fleet = NoticingFleet(virtualClock(), route(RequestKind.Idempotent), listOf(old))
            val relay = createTestRelay(fleet.tables, fleet, null)
            fleet.markLeaving(old)
            fleet.tables.fleet.update { FleetChanges.removed(it, old.life.instance) }
            fleet.tables.fleet.update { FleetChanges.registered(it, old.copy(slots = 9), revisionAt(2)) }
            val refused = FakeCaller()
            val served = FakeCaller("/calls/2")

            relay.accept(refused)
            val reborn = old.copy(life = old.life.copy(startedAtMilliseconds = 2))
            fleet.tables.fleet.update { FleetChanges.registered(it, reborn, revisionAt(3)) }
            relay.accept(served)

            refused.refusal shouldBe NotRun.NO_BACKEND
            served.status shouldBe ScriptedConnections.OK
            fleet.sent.single() shouldBe reborn.life
        }
}

/** Scripted servers whose notices reach the tables of the relay at chosen moments. */
private class NoticingFleet(
    clock: Clock,
    route: Route,
    backends: List<BackendEntry>,
) : BackendConnections {
    val tables = tablesWith(route, backends)
    val reactions = mutableListOf<Reaction>()
    val scripted = ScriptedConnections(reactions)
    private val availability =
        BackendAvailability(
            tables.fleet,
            tables.notices,
            LimitBudget(tables, self = null, FakeObservations()),
            FakeObservations(),
            clock,
            Random(3),
        )
    private var attempts = 0

    /** The servers that requests were sent to, and those they were not sent to after all. */
    val sent get() = scripted.orders.map { it.backend.life }
    val denied = mutableListOf<BackendLife>()
    val prefilled = mutableListOf<BackendLife>()

    /** Called for the first attempt, while its connection is made. */
    var beforeSending: (RunOrder) -> Unit = {}
    var beforePrefill: (RunOrder) -> Unit = {}

    /** Called when the head of an answer is in. */
    var afterHead: (RunOrder) -> Unit = {}
    var afterPrefill: (RunOrder) -> Unit = {}

    fun notice(
        order: RunOrder,
        notice: LeavingNotice,
    ) = availability.noticed(order, notice)

    fun markLeaving(backend: BackendEntry) =
        tables.fleet.update {
            FleetChanges.leaving(it, backend.life)
        }

    override suspend fun open(
        order: RunOrder,
        body: WholeBody,
    ): AttemptStream {
        attempts += 1
        if (attempts == 1) beforeSending(order)
        if (!availability.isPermitted(order)) {
            denied += order.backend.life
            return RefusedBeforeSending
        }
        val stream = scripted.open(order, body)
        afterHead(order)
        return stream
    }

    override suspend fun prefill(
        order: RunOrder,
        body: WholeBody,
    ): PrefillOutcome {
        beforePrefill(order)
        if (!availability.isPermitted(order)) return PrefillOutcome.Refused(AttemptRefusal.LEAVING)
        prefilled += order.backend.life
        return scripted.prefill(order, body).also { afterPrefill(order) }
    }

    override fun release(cache: CacheSource) = scripted.release(cache)

    private fun BackendAvailability.isPermitted(order: RunOrder): Boolean =
        permissionFor(order) == SendPermission.Granted
}

private object RefusedBeforeSending : AttemptStream {
    override suspend fun next(): AttemptEvent = AttemptEvent.Refused(AttemptRefusal.LEAVING)

    override fun cancel() = Unit
}
