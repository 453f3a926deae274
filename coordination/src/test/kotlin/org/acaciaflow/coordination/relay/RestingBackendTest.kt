package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.fleet.RestPolicy
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that reach a backend server in the time for which it has asked for none. */
class RestingBackendTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"))
    private val engines =
        listOf(
            backend("prefill", ENGINE_POOL, EngineRole.PREFILL),
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
        )
    private val longPrompt = Prompt(persistentListOf(PromptPart(7, 12_000)), 12_000, 10)

    @Test
    fun `requests go to the other server while one rests`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val connections = ScriptedConnections(mutableListOf())
            val relay = createTestRelay(tables, connections, null)
            rest(tables, services.first(), 60.seconds)

            repeat(20) { relay.accept(FakeCaller("/calls/$it")) }

            connections.orders.map { it.backend.life }.distinct() shouldBe listOf(services[1].life)
        }

    @Test
    fun `a request whose servers all rest too long is refused at once with the earliest return`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val connections = ScriptedConnections(mutableListOf())
            rest(tables, services[0], 60.seconds)
            rest(tables, services[1], 20.seconds)
            val caller = FakeCaller()

            createTestRelay(tables, connections, null).accept(caller)

            caller.refusal shouldBe NotRun.BACKENDS_RESTING
            checkNotNull(caller.retryAfter) shouldBeGreaterThanOrEqualTo 20.seconds
            checkNotNull(caller.retryAfter) shouldBeLessThanOrEqualTo 21.seconds
            currentTime shouldBe 0L
            connections.orders.shouldBeEmpty()
        }

    @Test
    fun `a request waits for a server that is back in time`() =
        runTest {
            val tables = tablesWith(route(RequestKind.AtMostOnce), services.take(1))
            val connections = ScriptedConnections(mutableListOf())
            rest(tables, services.first(), 2.seconds)
            val caller = FakeCaller()

            createTestRelay(tables, connections, null).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            currentTime.milliseconds shouldBeGreaterThanOrEqualTo 2.seconds
            currentTime.milliseconds shouldBeLessThanOrEqualTo 2600.milliseconds
        }

    @Test
    fun `a generation waits for a decode engine that is back in time and is refused if none is`() =
        runTest {
            for ((duration, answered) in listOf(1.seconds to true, 10.seconds to false)) {
                val tables = tablesWith(route(RequestKind.Idempotent, ENGINE_POOL), engines)
                val connections = ScriptedConnections(mutableListOf())
                rest(tables, engines[1], duration)
                val caller = FakeCaller()

                createTestRelay(tables, connections, longPrompt).accept(caller)

                (caller.status == ScriptedConnections.OK) shouldBe answered
                (caller.refusal == NotRun.BACKENDS_RESTING) shouldBe !answered
            }
        }

    @Test
    fun `a resting prefill engine gets no prefill and the prompt is prefilled by the decode engine`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent, ENGINE_POOL), engines)
            val connections = ScriptedConnections(mutableListOf())
            rest(tables, engines[0], 10.seconds)
            val caller = FakeCaller()

            createTestRelay(tables, connections, longPrompt).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            connections.orders.single().source shouldBe null
        }

    @Test
    fun `of the requests that wait for a server one tries it first`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services.take(1))
            val silent = Reaction.StaysSilent
            val connections = ScriptedConnections(mutableListOf(silent))
            rest(tables, services.first(), 1.seconds)
            val relay = createTestRelay(tables, connections, null)
            val waiting = List(40) { launch { relay.accept(FakeCaller("/calls/$it")) } }

            testScheduler.advanceTimeBy(1900)

            connections.orders shouldHaveSize 1
            waiting.forEach { it.cancel() }
        }

    @Test
    fun `a request that may have run is not said to be not run when the other servers rest`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val connections = ScriptedConnections(mutableListOf(Reaction.BreaksConnection))
            rest(tables, services.first(), 60.seconds)
            val caller = FakeCaller()

            createTestRelay(tables, connections, null).accept(caller)

            caller.refusal shouldBe MayHaveRun.BACKEND_CRASHED
        }

    /** Guards against callers who are sent away for a minute when a server is only busy for a moment. */
    @Test
    fun `a server without free connections counts as back sooner than one that rests`() =
        runTest {
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val jobs = JobIdentityAllocator()
            val now = virtualClock().now()
            rest(tables, services[0], 60.seconds)
            repeat(90) {
                tables.load.update { load ->
                    LoadLedger.sent(load, services[1].life, jobs.next(), 1.seconds, tokens = 0, now)
                }
            }
            val caller = FakeCaller()

            createTestRelay(tables, ScriptedConnections(mutableListOf()), null).accept(caller)

            caller.refusal shouldBe NotRun.NO_BACKEND
            caller.retryAfter shouldBe 250.milliseconds
        }

    private fun TestScope.rest(
        tables: RelayTables,
        backend: BackendEntry,
        duration: Duration,
    ) {
        val now = virtualClock().now()
        tables.notices.update { RestPolicy.rested(it, backend.life, duration, now, Random(5)) }
    }
}
