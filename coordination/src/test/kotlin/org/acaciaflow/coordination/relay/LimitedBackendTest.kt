package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.fleet.RestPolicy
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests beyond the limit that a backend server names. */
class LimitedBackendTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"))
    private val engines =
        listOf(
            backend("prefill", ENGINE_POOL, EngineRole.PREFILL),
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
        )
    private val longPrompt = Prompt(parts = persistentListOf(), 12_000, 10) // no part that an engine holds already

    /** Guards against callers who notice the limit of one server while another one has room. */
    @Test
    fun `while another server has room all calls are served and the limited one gets what it takes`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val connections = ScriptedConnections(mutableListOf())
            val relay = createTestRelay(tables, connections, null)
            limit(tables, services.first(), perSecond = 2.0)

            val callers = every(50.milliseconds, count = 400) { relay.accept(it) }

            callers.count { it.status == ScriptedConnections.OK } shouldBe 400
            val sent = connections.orders.count { it.backend.life == services.first().life }
            sent shouldBeLessThanOrEqualTo 41
            sent shouldBeGreaterThanOrEqualTo 20
        }

    /** Guards against requests that wait until their time limit, or a second, for a server that takes no more. */
    @Test
    fun `what exceeds the limits of all servers is refused at once with successive returns`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val connections = ScriptedConnections(mutableListOf())
            val relay = createTestRelay(tables, connections, null)
            services.forEach { limit(tables, it, perSecond = 1.0) }
            val callers = List(10) { FakeCaller("/calls/$it") }

            callers.forEach { launch { relay.accept(it) } }
            delay(300.milliseconds)

            callers.map { it.refusal }.distinct() shouldBe listOf(NotRun.BACKENDS_LIMITED)
            val returns = callers.map { checkNotNull(it.retryAfter) }
            returns.sorted().zipWithNext { one, next -> next - one }.min() shouldBeGreaterThan 400.milliseconds
            connections.orders.shouldBeEmpty()
        }

    /** Guards against callers who are told to return when there is no token for them. */
    @Test
    fun `callers who return when they are told to are served in the end`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services.take(1))
            val connections = ScriptedConnections(mutableListOf())
            val relay = createTestRelay(tables, connections, null)
            limit(tables, services.first(), perSecond = 4.0)
            val attempts = mutableListOf<Int>()

            val calls =
                List(20) { number ->
                    launch {
                        var tries = 0
                        while (true) {
                            val caller = FakeCaller("/calls/$number")
                            relay.accept(caller)
                            tries += 1
                            if (caller.status == ScriptedConnections.OK) break
                            delay(checkNotNull(caller.retryAfter))
                        }
                        attempts += tries
                    }
                }
            calls.forEach { it.join() }

            currentTime.milliseconds shouldBeLessThanOrEqualTo 7.seconds
            attempts.average() shouldBeLessThanOrEqualTo 2.5
        }

    /** Guards against a refusal when a token comes in a moment. */
    @Test
    fun `a request waits shortly for the next token and the one after it does not`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services.take(1))
            val relay = createTestRelay(tables, ScriptedConnections(mutableListOf()), null)
            limit(tables, services.first(), perSecond = 10.0)
            val callers = List(3) { FakeCaller("/calls/$it") }

            callers.forEach { launch { relay.accept(it) } }
            delay(110.milliseconds)

            callers.map { it.status } shouldBe listOf(ScriptedConnections.OK, null, null)
            callers.drop(1).map { it.refusal }.distinct() shouldBe listOf(NotRun.BACKENDS_LIMITED)
        }

    /** Guards against urgent work that is refused while other work waits for the next token. */
    @Test
    fun `urgent work gets the token that other work waits for`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent, urgency = 1), services.take(1))
            val urgent = tablesWith(route(RequestKind.Idempotent, urgency = 0), services.take(1))
            val relay = createTestRelay(tables, ScriptedConnections(mutableListOf()), null)
            limit(tables, services.first(), perSecond = 5.0)
            val callers = listOf(FakeCaller("/calls/1"), FakeCaller("/calls/2"))

            launch { relay.accept(callers[0]) }
            delay(10.milliseconds)
            tables.routing.update { urgent.routing.snapshot() }
            launch { relay.accept(callers[1]) }
            delay(400.milliseconds)

            callers[1].status shouldBe ScriptedConnections.OK
            callers[0].refusal shouldBe NotRun.BACKENDS_LIMITED
        }

    /** Guards against a limit that counts as trouble of the server or as a retry of the request. */
    @Test
    fun `a request that finds no token is no attempt, no retry and no verdict on the server`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services.take(1))
            val connections = ScriptedConnections(mutableListOf())
            limit(tables, services.first(), perSecond = 1.0)
            val caller = FakeCaller()

            createTestRelay(tables, connections, null).accept(caller)

            caller.refusal shouldBe NotRun.BACKENDS_LIMITED
            tables.reliability.snapshot().isEmpty() shouldBe true
            tables.crashes
                .snapshot()
                .bySubject
                .isEmpty() shouldBe true
            tables.retryWindows
                .snapshot()
                .values
                .sumOf { it.retries.values.sum() } shouldBe 0
            connections.orders.shouldBeEmpty()
        }

    /** Guards against a token that is taken between the choice of a server and the request to it. */
    @Test
    fun `requests that chose the server at the same time take each token once`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services.take(1))
            val connections = ScriptedConnections(mutableListOf())
            val relay = createTestRelay(tables, connections, null)
            limit(tables, services.first(), perSecond = 6.0)
            delay(10.seconds)
            val callers = List(50) { FakeCaller("/calls/$it") }

            callers.forEach { launch { relay.accept(it) } }
            delay(100.milliseconds)

            connections.orders shouldHaveSize 3
            callers.count { it.status == ScriptedConnections.OK } shouldBe 3
        }

    /** Guards against retries that are sent beyond the limit. */
    @Test
    fun `a retry needs a token as well`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val refused = Reaction.Refuses(AttemptRefusal.AT_CAPACITY)
            val connections = ScriptedConnections(mutableListOf(refused, refused))
            val relay = createTestRelay(tables, connections, null)
            limit(tables, services[0], perSecond = 1.0)
            limit(tables, services[1], perSecond = 0.2)
            delay(1.1.seconds)
            val caller = FakeCaller()

            relay.accept(caller)

            connections.orders.map { it.backend } shouldBe listOf(services[0])
            caller.refusal shouldBe NotRun.BACKENDS_LIMITED
        }

    /** Guards against a refusal that says that a request has not run although it may have. */
    @Test
    fun `a request that may have run waits for a token and is not said to be not run`() =
        runTest {
            for (free in listOf(true, false)) {
                val tables = tablesWith(route(RequestKind.Idempotent), services)
                val connections = ScriptedConnections(mutableListOf(Reaction.BreaksConnection))
                val limited = services.first()
                limit(tables, limited, perSecond = 0.5)
                val now = virtualClock().now()
                if (!free) {
                    LimitBudget(
                        tables,
                        null,
                        FakeObservations(),
                    ).reserve(limited.life, "other", urgency = 0, now)
                }
                val caller = FakeCaller()

                createTestRelay(tables, connections, null).accept(caller)

                caller.status shouldBe ScriptedConnections.OK.takeIf { free }
                caller.refusal shouldBe MayHaveRun.BACKEND_CRASHED.takeIf { !free }
            }
        }

    /** Guards against prefills that the server gets beside its limit. */
    @Test
    fun `prefills take tokens of the prefill engine`() =
        runTest {
            for ((perSecond, prefills) in listOf(0.2 to 1, 100.0 to 2)) {
                val tables = tablesWith(route(RequestKind.Idempotent, ENGINE_POOL), engines)
                val connections = CountingPrefills(ScriptedConnections(mutableListOf()))
                val relay = createTestRelay(tables, connections, longPrompt)
                limit(tables, engines[0], perSecond)
                delay(6.seconds)

                val callers = every(1.milliseconds, count = 2) { relay.accept(it) }

                callers.map { it.status } shouldBe List(2) { ScriptedConnections.OK }
                connections.prefills shouldBe prefills
            }
        }

    /** Guards against runs on a decode engine beyond its limit, and prefills whose result nobody fetches. */
    @Test
    fun `what exceeds the limit of the decode engine is refused`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent, ENGINE_POOL), engines)
            val connections = CountingPrefills(ScriptedConnections(mutableListOf()))
            val relay = createTestRelay(tables, connections, longPrompt)
            limit(tables, engines[1], perSecond = 2.0)

            val callers = every(50.milliseconds, count = 200) { relay.accept(it) }

            val served = callers.count { it.status == ScriptedConnections.OK }
            served shouldBeLessThanOrEqualTo 21
            served shouldBeGreaterThanOrEqualTo 15
            connections.prefills shouldBeLessThanOrEqualTo served + 1
            callers.mapNotNull { it.refusal }.distinct() shouldBe listOf(NotRun.BACKENDS_LIMITED)
        }

    /** Guards against callers sent away for a minute because one server rests while the other one is limited. */
    @Test
    fun `of a resting and a limited server the limited one tells when to return`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val now = virtualClock().now()
            tables.notices.update {
                RestPolicy.rested(it, services[1].life, 60.seconds, now, Random(5))
            }
            limit(tables, services[0], perSecond = 1.0)
            val caller = FakeCaller()

            createTestRelay(tables, ScriptedConnections(mutableListOf()), null).accept(caller)

            caller.refusal shouldBe NotRun.BACKENDS_LIMITED
            checkNotNull(caller.retryAfter) shouldBeLessThanOrEqualTo 1.seconds
        }

    private fun TestScope.limit(
        tables: RelayTables,
        backend: BackendEntry,
        perSecond: Double,
    ) = LimitBudget(tables, self = null, FakeObservations()).named(backend, "request", perSecond, virtualClock().now())

    /** Makes [count] calls, one every [interval], and returns the callers when all have their answers. */
    private suspend fun TestScope.every(
        interval: Duration,
        count: Int,
        call: suspend (FakeCaller) -> Unit,
    ): List<FakeCaller> {
        val callers = List(count) { FakeCaller("/calls/$it") }
        val calls =
            callers.map { caller ->
                delay(interval)
                launch { call(caller) }
            }
        calls.forEach { it.join() }
        return callers
    }

    private class CountingPrefills(
        private val connections: ScriptedConnections,
    ) : BackendConnections by connections {
        var prefills = 0

        override suspend fun open(
            order: RunOrder,
            body: WholeBody,
        ): AttemptStream = connections.open(order, body)

        override suspend fun prefill(
            order: RunOrder,
            body: WholeBody,
        ): PrefillOutcome {
            prefills += 1
            return connections.prefill(order, body)
        }
    }
}
