package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A sound server falls silent for a second or so within an answer and goes on. */
class SilentServerTest : AnnotationSpec() {
    private val resumable = RequestKind.EventStream(resumable = true)
    private val whole = Reaction.Streams(breakAt = null)

    /** Guards against a stream that is cut, though its server would go on, since no other server is left (LOST). */
    @Test
    fun `a stream whose only server is silent for a second is delivered whole`() =
        isWhole(listOf(engine("one")), listOf(silent(whole, part = 4)), attempts = 1)

    /** Guards against a stream that is cut, though its server would go on, since the other servers have another version (LOST). */
    @Test
    fun `a stream is delivered whole if the other server has another software version`() =
        isWhole(
            listOf(engine("one"), engine("second").copy(software = SoftwareVersion("2"))),
            listOf(silent(whole, part = 4)),
            attempts = 1,
        )

    /** Guards against a stream that is cut, though its server would go on, since the server tried next refuses it (LOST). */
    @Test
    fun `a stream is delivered whole if the other server refuses it`() =
        isWhole(
            listOf(engine("one"), engine("second")),
            listOf(silent(whole, part = 4), Reaction.Refuses(AttemptRefusal.AT_CAPACITY)),
            attempts = 2,
        )

    /** Guards against a stream that is given up, though its server would go on, since the server tried next crashes (LOST). */
    @Test
    fun `a stream is delivered whole if the other server breaks off`() =
        isWhole(
            listOf(engine("one"), engine("second")),
            listOf(silent(whole, part = 4), Reaction.BreaksConnection),
            attempts = 2,
        )

    /** Guards against a stream that is given up before its first event, though its server would begin, for a refusal (LOST). */
    @Test
    fun `a stream that begins late is delivered whole if the other server refuses it`() =
        isWhole(
            listOf(engine("one"), engine("second")),
            listOf(silent(whole, part = 0, 2.seconds), Reaction.Refuses(AttemptRefusal.AT_CAPACITY)),
            attempts = 2,
        )

    /** Guards against events that reach the caller twice when a silent server goes on beside the one that was tried. */
    @Test
    fun `a stream whose server goes on before the other one has an event stays with it`() =
        isWhole(
            listOf(engine("one"), engine("second")),
            listOf(silent(whole, part = 4), silent(whole, part = 0, 1.seconds)),
            attempts = 2,
        )

    /** Guards against a comment of another server that stops a silent one. */
    @Test
    fun `a stream stays with its server while the other one sends comments only`() {
        val comments = Reaction.Paces(listOf("."), 50.milliseconds, endless = true)
        isWhole(listOf(engine("one"), engine("second")), listOf(silent(whole, part = 4), comments), attempts = 2)
    }

    /** Guards against waiting for a server that never goes on, where another one would serve the stream. */
    @Test
    fun `a stream whose server is silent for good goes on at another server within two seconds`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(silent(whole, part = 4, 1.days), whole))
            val caller = FakeCaller()

            relay(route(resumable, ENGINE_POOL), listOf(engine("one"), engine("second")), connections).accept(caller)

            caller.text shouldBe "abcdefgh"
            caller.ended shouldBe true
            currentTime shouldBeLessThan 2_000L
            connections.orders.map { it.resumeAfter } shouldBe listOf(null, "2")
        }

    /** Guards against an engine that is taken for slow in reading prompts because another one answered late in its place. */
    @Test
    fun `the first event of another engine tells nothing of the silent one`() =
        runTest {
            val servers = listOf(engine("one"), engine("second"))
            val rates =
                listOf(listOf(silent(whole, part = 0, 1.days), whole), listOf(whole)).map { reactions ->
                    val tables = tablesWith(route(resumable, ENGINE_POOL), servers)
                    relay(
                        tables,
                        ScriptedConnections(reactions.toMutableList()),
                        promptTokens = 12_000,
                    ).accept(FakeCaller())
                    tables.rates.snapshot()[ENGINE_POOL]
                }

            rates[0] shouldBe rates[1]
        }

    /** Guards against a plain call that is given up, though its answer is on its way, since no other server is left (LOST). */
    @Test
    fun `an idempotent call whose only server is silent for a second is delivered`() =
        isDelivered(listOf(backend("one")), listOf(silent(Reaction.Answers(200), part = 1)), attempts = 1)

    /** Guards against a plain call that is given up, though its answer is on its way, for a refusal or a failure (LOST). */
    @Test
    fun `an idempotent call is delivered if the other server refuses it or fails`() {
        val second =
            listOf(Reaction.Refuses(AttemptRefusal.AT_CAPACITY), Reaction.BreaksConnection, Reaction.Answers(500))
        for (reaction in second) {
            val reactions = listOf(silent(Reaction.Answers(200), part = 1), reaction)
            isDelivered(listOf(backend("one"), backend("second")), reactions, attempts = 2)
        }
    }

    /** Guards against waiting for a server that never answers, where another one does. */
    @Test
    fun `an idempotent call whose server is silent for good is answered by another one at once`() =
        runTest {
            val reactions = mutableListOf(silent(Reaction.Answers(200), part = 1, 1.days), Reaction.Answers(200))
            val connections = ScriptedConnections(reactions)
            val caller = FakeCaller()

            relay(route(RequestKind.Idempotent), listOf(backend("one"), backend("second")), connections).accept(caller)

            caller.text shouldBe "answer"
            currentTime shouldBeLessThan 1_000L
        }

    /** Guards against a failure of another server that replaces an answer, or is lost where there is no better one. */
    @Test
    fun `a failure of the other server reaches the caller only once the silent one has broken off`() =
        runTest {
            val reactions = mutableListOf(silent(Reaction.BreaksConnection, part = 0), Reaction.Answers(500))
            val connections = ScriptedConnections(reactions)
            val caller = FakeCaller()

            relay(route(RequestKind.Idempotent), listOf(backend("one"), backend("second")), connections).accept(caller)

            caller.status shouldBe 500
            currentTime shouldBeLessThan 1_500L
        }

    /** Guards against a request that runs at more servers than its route allows, since silent ones go on meanwhile. */
    @Test
    fun `a request is sent to no more servers than its route allows while all are silent`() =
        runTest {
            val silent = silent(Reaction.Answers(200), part = 0, 1.days)
            val connections = ScriptedConnections(MutableList(10) { silent })
            val caller = FakeCaller()
            val servers = List(5) { backend("server-$it") }

            relay(route(RequestKind.Idempotent, maximumAttempts = 3), servers, connections).accept(caller)

            connections.orders shouldHaveSize 3
            currentTime shouldBe 4_000L
        }

    /** Guards against a stream that is cut, though its server would go on, since the limit of retries is reached (LOST). */
    @Test
    fun `a stream whose server is silent for a second is delivered whole if no retry is allowed`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(silent(whole, part = 4), whole))
            val caller = FakeCaller()
            val servers = listOf(engine("one"), engine("second"))

            relay(route(resumable, ENGINE_POOL), servers, connections, bounds = NO_RETRIES).accept(caller)

            caller.text shouldBe "abcdefgh"
            connections.orders shouldHaveSize 1
        }

    /** Guards against a prefill that is given up, though its engine would go on, since no retry is allowed (LOST). */
    @Test
    fun `a stream whose prefill is silent for a second is delivered whole if no retry is allowed`() =
        runTest {
            val engines = listOf(backend("prefill", ENGINE_POOL, EngineRole.PREFILL), engine("decode"))
            val connections = ScriptedConnections(mutableListOf(whole))
            connections.prefillTimes += 2.seconds
            val caller = FakeCaller()
            val route = route(resumable, ENGINE_POOL)

            relay(route, engines, connections, promptTokens = 12_000, NO_RETRIES).accept(caller)

            caller.text shouldBe "abcdefgh"
            connections.prefills shouldHaveSize 1
        }

    /** Guards against a request that runs twice: at the engine tried after a silent prefill, and from that prefill (TWICE). */
    @Test
    fun `a stream that may run once runs once when its silent prefill goes on`() =
        runTest {
            val engines =
                List(2) { backend("prefill-$it", ENGINE_POOL, EngineRole.PREFILL) } + List(2) { engine("$it") }
            val connections = ScriptedConnections(mutableListOf(silent(whole, part = 0, 2.seconds), whole))
            connections.prefillTimes += 2.seconds
            val caller = FakeCaller()
            val route = route(RequestKind.EventStream(resumable = false), ENGINE_POOL)

            relay(route, engines, connections, promptTokens = 12_000).accept(caller)

            connections.mayHaveRun shouldBeLessThanOrEqual 1
            caller.text shouldBe "abcdefgh"
        }

    private fun isWhole(
        servers: List<BackendEntry>,
        reactions: List<Reaction>,
        attempts: Int,
    ) = runTest {
        val connections = ScriptedConnections(reactions.toMutableList())
        val caller = FakeCaller()

        relay(route(resumable, ENGINE_POOL), servers, connections).accept(caller)

        caller.text shouldBe "abcdefgh"
        caller.ended shouldBe true
        connections.orders shouldHaveSize attempts
    }

    private fun isDelivered(
        servers: List<BackendEntry>,
        reactions: List<Reaction>,
        attempts: Int,
    ) = runTest {
        val connections = ScriptedConnections(reactions.toMutableList())
        val caller = FakeCaller()

        relay(route(RequestKind.Idempotent), servers, connections).accept(caller)

        caller.status shouldBe 200
        caller.text shouldBe "answer"
        connections.orders shouldHaveSize attempts
    }

    private fun silent(
        reaction: Reaction,
        part: Int,
        silence: Duration = 1100.milliseconds,
    ) = Reaction.FallsSilent(reaction, part, silence)

    private fun engine(name: String): BackendEntry = backend(name, ENGINE_POOL, EngineRole.DECODE)

    private fun TestScope.relay(
        route: Route,
        servers: List<BackendEntry>,
        connections: ScriptedConnections,
        promptTokens: Int = 100,
        bounds: RetryBounds = RetryBounds(0.2, 1000.0, 10.seconds),
    ): RequestRelay = relay(tablesWith(route, servers), connections, promptTokens, bounds)

    private fun TestScope.relay(
        tables: RelayTables,
        connections: ScriptedConnections,
        promptTokens: Int = 100,
        bounds: RetryBounds = RetryBounds(0.2, 1000.0, 10.seconds),
    ): RequestRelay {
        val prompt = Prompt(persistentListOf(PromptPart(1, promptTokens)), promptTokens, 10)
        return createTestRelay(tables, connections, prompt, bounds = bounds)
    }

    private companion object {
        val NO_RETRIES = RetryBounds(ratio = 0.0, slack = 0.0, window = 10.seconds)
    }
}
