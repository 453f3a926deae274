package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class RequestRelayTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"), backend("third-1"))
    private val engines =
        listOf(
            backend("prefill", ENGINE_POOL, EngineRole.PREFILL),
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
            backend("decode-2", ENGINE_POOL, EngineRole.DECODE),
        )
    private val resumable = RequestKind.EventStream(resumable = true)

    @Test
    fun `a request that must not be repeated is executed at most once whatever the backend servers do`() =
        runTest {
            for (seed in 1..300) {
                val random = Random(seed)
                val connections = ScriptedConnections(MutableList(4) { randomReaction(random) })
                val caller = FakeCaller()

                relay(route(RequestKind.AtMostOnce, maximumAttempts = 3), services, connections).accept(caller)

                connections.mayHaveRun shouldBeLessThanOrEqual 1
                if (connections.mayHaveRun > 0) (caller.refusal is NotRun) shouldBe false
            }
        }

    @Test
    fun `a refusal says that nothing was executed only when nothing was executed`() =
        runTest {
            for (seed in 1..300) {
                val random = Random(seed)
                val connections = ScriptedConnections(MutableList(4) { randomReaction(random) })
                val caller = FakeCaller()

                relay(route(RequestKind.Idempotent, maximumAttempts = 3), services, connections).accept(caller)

                if (caller.refusal is NotRun) connections.mayHaveRun shouldBe 0
            }
        }

    @Test
    fun `a refused request is retried on another server and not on the same one`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.Refuses(AttemptRefusal.AT_CAPACITY)))
            val caller = FakeCaller()

            relay(route(RequestKind.AtMostOnce), services, connections).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            connections.orders.map { it.backend.life }.distinct() shouldHaveSize 2
        }

    @Test
    fun `a request is sent to no more servers than its route allows`() =
        runTest {
            val refusals = MutableList<Reaction>(5) { Reaction.Refuses(AttemptRefusal.AT_CAPACITY) }
            val connections = ScriptedConnections(refusals)
            val caller = FakeCaller()

            relay(route(RequestKind.Idempotent, maximumAttempts = 2), services, connections).accept(caller)

            connections.orders shouldHaveSize 2
            caller.refusal shouldBe NotRun.BACKENDS_REFUSED
        }

    @Test
    fun `an error answer is forwarded when no further attempt is allowed`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.Answers(500)))
            val caller = FakeCaller()

            relay(route(RequestKind.AtMostOnce), services, connections).accept(caller)

            caller.status shouldBe 500
            caller.ended shouldBe true
        }

    /** Guards against a success that its server has contradicted and a caller gets all the same. */
    @Test
    fun `a contradicted success is not passed on and the call is sent elsewhere if it may be repeated`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.ContradictsItself))
            val tables = tablesWith(route(RequestKind.Idempotent), services)
            val caller = FakeCaller()

            createTestRelay(tables, connections, prompt = null).accept(caller)

            caller.status shouldBe ScriptedConnections.OK
            caller.text shouldBe "answer"
            val lives = connections.orders.map { it.backend.life }
            lives.distinct() shouldHaveSize 2
            tables.reliability
                .snapshot()
                .filterValues { it.failureShare > 0.0 }
                .keys shouldBe setOf(lives.first())
        }

    /** Guards against a sound answer that is thrown away, and a server blamed, because the answer is held. */
    @Test
    fun `an answer that is held for longer than a stall is no stall`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.Held(1.seconds)))
            val caller = FakeCaller()

            relay(route(RequestKind.Idempotent), services, connections).accept(caller)

            connections.orders shouldHaveSize 1
            caller.text shouldBe "answer"
        }

    /** Guards against an at-most-once call that is sent again, or reported as delivered or not run. */
    @Test
    fun `a contradicted success of an at-most-once call is its failure`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.ContradictsItself))
            val tables = tablesWith(route(RequestKind.AtMostOnce), services)
            val crashesBefore = tables.crashes.snapshot()
            val caller = FakeCaller()

            createTestRelay(tables, connections, prompt = null).accept(caller)

            connections.orders shouldHaveSize 1
            caller.refusal shouldBe MayHaveRun.ANSWER_CONTRADICTED
            tables.crashes.snapshot() shouldBe crashesBefore
        }

    @Test
    fun `a request without an answer ends at its route's timeout`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.StaysSilent))
            val caller = FakeCaller()

            relay(route(RequestKind.AtMostOnce), services, connections).accept(caller)

            caller.refusal shouldBe MayHaveRun.DEADLINE_PASSED
            currentTime shouldBe 4_000L
        }

    @Test
    fun `a stream that breaks anywhere reaches its caller complete and in order`() =
        runTest {
            for (breakAt in 'a'..'h') {
                val connections =
                    ScriptedConnections(mutableListOf(Reaction.Streams(breakAt), Reaction.Streams(breakAt = null)))
                val caller = FakeCaller()

                relay(route(resumable, ENGINE_POOL), engines, connections, prompt(10)).accept(caller)

                caller.text shouldBe "abcdefgh"
                caller.ended shouldBe true
            }
        }

    @Test
    fun `a broken stream that cannot be resumed is aborted, not ended`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.Streams(breakAt = 'c')))
            val caller = FakeCaller()
            val route = route(RequestKind.EventStream(resumable = false), ENGINE_POOL)

            relay(route, engines, connections, prompt(10)).accept(caller)

            caller.aborted shouldBe true
            caller.ended shouldBe false
            connections.orders shouldHaveSize 1
        }

    @Test
    fun `a stream whose engine goes silent is served by another engine`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.StaysSilent, Reaction.Streams(breakAt = null)))
            val caller = FakeCaller()

            relay(route(resumable, ENGINE_POOL), engines, connections, prompt(10)).accept(caller)

            caller.text shouldBe "abcdefgh"
            connections.orders.map { it.backend.life }.distinct() shouldHaveSize 2
        }

    @Test
    fun `a prefill refused with OTHER_LIFE does not fail the worker`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.Streams(breakAt = null)))
            connections.prefill = PrefillOutcome.Refused(AttemptRefusal.OTHER_LIFE)
            val caller = FakeCaller()

            relay(route(resumable, ENGINE_POOL), engines, connections, prompt(5000)).accept(caller)

            caller.text shouldBe "abcdefgh"
        }

    @Test
    fun `KV cache that cannot be fetched is recomputed by the same decode engine`() =
        runTest {
            val connections =
                ScriptedConnections(
                    mutableListOf(
                        Reaction.Refuses(AttemptRefusal.CACHE_UNAVAILABLE),
                        Reaction.Streams(breakAt = null),
                    ),
                )
            val caller = FakeCaller()

            relay(route(resumable, ENGINE_POOL, maximumAttempts = 1), engines, connections, prompt(5000)).accept(caller)

            caller.text shouldBe "abcdefgh"
            connections.orders.map { it.backend.life }.distinct() shouldHaveSize 1
            connections.released shouldHaveSize 1
        }

    /** Guards against KV cache that stays at a prefill engine since each decode engine refuses the connection. */
    @Test
    fun `KV cache of a prefill is released if no decode engine can be connected to`() =
        runTest {
            val refused = Reaction.Refuses(AttemptRefusal.CONNECTION_REFUSED)
            val connections = ScriptedConnections(MutableList(10) { refused })
            val caller = FakeCaller()

            relay(route(resumable, ENGINE_POOL), engines, connections, prompt(5000)).accept(caller)

            connections.orders.count { it.source != null } shouldBe 2
            connections.released shouldHaveSize 1
        }

    /** Guards against KV cache that stays at a prefill engine after a refusal for a reason beside the cache. */
    @Test
    fun `KV cache of a prefill is released if the decode engine says that another life was meant`() =
        runTest {
            val connections =
                ScriptedConnections(
                    mutableListOf(Reaction.Refuses(AttemptRefusal.OTHER_LIFE), Reaction.Streams(breakAt = null)),
                )
            val caller = FakeCaller()

            relay(route(resumable, ENGINE_POOL), engines, connections, prompt(5000)).accept(caller)

            caller.text shouldBe "abcdefgh"
            connections.released shouldHaveSize 1
        }

    @Test
    fun `a call is refused for a missing configuration, not as unknown, while no configuration is known`() =
        runTest {
            val caller = FakeCaller()
            val tables = createRelayTables()

            createTestRelay(tables, ScriptedConnections(mutableListOf()), null).accept(caller)

            caller.refusal shouldBe NotRun.NO_CONFIGURATION
            caller.retryAfter.shouldBeInstanceOf<kotlin.time.Duration>()
        }

    @Test
    fun `a call that arrives before the first configuration is served once the configuration is known`() =
        runTest {
            val caller = FakeCaller()
            val known = tablesWith(route(RequestKind.Idempotent), services)
            val tables = known.copy(routing = createRelayTables().routing)
            val relay = createTestRelay(tables, ScriptedConnections(mutableListOf()), null)

            val call = launch { relay.accept(caller) }
            delay(300)
            tables.routing.update { known.routing.snapshot() }
            call.join()

            caller.status shouldBe ScriptedConnections.OK
        }

    @Test
    fun `a call is refused immediately when no configuration was read within the initial wait`() =
        runTest {
            val caller = FakeCaller()
            val relay = createTestRelay(createRelayTables(), ScriptedConnections(mutableListOf()), null)
            delay(5_000)

            relay.accept(caller)

            caller.refusal shouldBe NotRun.NO_CONFIGURATION
            currentTime shouldBe 5_000L
        }

    @Test
    fun `a request that broke the connections of two servers is not sent to a third`() =
        runTest {
            val crash = MutableList<Reaction>(8) { Reaction.BreaksConnection }
            val connections = ScriptedConnections(crash)
            val tables = tablesWith(route(RequestKind.Idempotent, maximumAttempts = 1), services)
            val relay = createTestRelay(tables, connections, null)

            repeat(6) { relay.accept(FakeCaller()) }

            connections.orders
                .map { it.backend.life }
                .distinct()
                .size shouldBeIn listOf(1, 2)
        }

    private fun TestScope.relay(
        route: Route,
        backends: List<BackendEntry>,
        connections: ScriptedConnections,
        prompt: Prompt? = null,
    ): RequestRelay = createTestRelay(tablesWith(route, backends), connections, prompt)

    private fun prompt(tokens: Int): Prompt = Prompt(persistentListOf(PromptPart(1, tokens)), tokens, 10)

    private fun randomReaction(random: Random): Reaction =
        when (random.nextInt(6)) {
            0 -> Reaction.Refuses(AttemptRefusal.AT_CAPACITY)
            1 -> Reaction.Refuses(AttemptRefusal.CONNECTION_REFUSED)
            2 -> Reaction.Refuses(AttemptRefusal.OTHER_LIFE)
            3 -> Reaction.BreaksConnection
            4 -> Reaction.StaysSilent
            else -> Reaction.Answers(if (random.nextBoolean()) 200 else 500)
        }
}
