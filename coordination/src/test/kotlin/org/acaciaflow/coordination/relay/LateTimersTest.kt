package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.yield
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A gateway whose process does not run for a while; when it goes on, its timers fire before its sockets are read. */
class LateTimersTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"))
    private val decodeEngines =
        listOf(
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
            backend("decode-2", ENGINE_POOL, EngineRole.DECODE),
        )
    private val resumable = RequestKind.EventStream(resumable = true)

    // Guards against ending a run whose answer arrived in time and was only not read yet (RepeatedRequestIdTest, 502).
    @Test
    fun `an answer that arrives while the process does not run is delivered`() =
        runTest {
            val process = PausedProcess(this, answer(head(ScriptedConnections.OK), data("answer"), AttemptEvent.End))
            val caller = FakeCaller()
            launch { process.pause(after = 100.milliseconds, length = 1200.milliseconds) }

            relay(process, route(RequestKind.Idempotent), prompt = null).accept(caller)

            caller.text shouldBe "answer"
            process.orders shouldHaveSize 1
        }

    // Guards against ending a run whose long answer takes several passes over the sockets to be read.
    @Test
    fun `an answer that is read in several passes over the sockets is delivered`() =
        runTest {
            val parts = List(20) { data("$it ") }
            val events = listOf(head(ScriptedConnections.OK)) + parts + AttemptEvent.End
            val process = PausedProcess(this, events.map { listOf(it) })
            val caller = FakeCaller()
            launch { process.pause(after = 100.milliseconds, length = 1200.milliseconds) }

            relay(process, route(RequestKind.Idempotent), prompt = null).accept(caller)

            caller.text shouldBe List(20) { "$it " }.joinToString("")
            process.orders shouldHaveSize 1
        }

    // Guards against starting a stream again elsewhere whose first event arrived in time and was only not read yet.
    @Test
    fun `a stream that begins while the process does not run goes on at its engine`() =
        runTest {
            val events = listOf(head(LetterFraming.STREAM_STATUS)) + ('a'..'h').map { data("$it") } + AttemptEvent.End
            val process = PausedProcess(this, listOf(events))
            val caller = FakeCaller()
            launch { process.pause(after = 100.milliseconds, length = 3.seconds) }

            relay(process, route(resumable, ENGINE_POOL), prompt(100)).accept(caller)

            caller.text shouldBe "abcdefgh"
            process.orders shouldHaveSize 1
        }

    // Guards against waiting for ever for a server that sent nothing while the process did not run.
    @Test
    fun `a run without an answer is ended all the same, after one pass over the sockets`() =
        runTest {
            val process = PausedProcess(this, passes = emptyList(), next = ScriptedConnections(mutableListOf()))
            val caller = FakeCaller()
            launch { process.pause(after = 100.milliseconds, length = 1200.milliseconds) }

            relay(process, route(RequestKind.Idempotent), prompt = null).accept(caller)

            caller.text shouldBe "answer"
            process.orders.map { it.backend.life }.toSet() shouldHaveSize 2
            process.readsAfterPause shouldBe 1
        }

    // Guards against giving up a prefill whose answer arrived in time and was only not read yet.
    @Test
    fun `the answer to a prefill that is read after its timeout is used`() =
        runTest {
            val prefillEngines = listOf("prefill", "prefill-2").map { backend(it, ENGINE_POOL, EngineRole.PREFILL) }
            val process = PausedProcess(this, passes = emptyList(), next = ScriptedConnections(mutableListOf()))
            val caller = FakeCaller()
            val tables = tablesWith(route(resumable, ENGINE_POOL), decodeEngines + prefillEngines)
            launch { process.pause(after = 1.milliseconds, length = 1200.milliseconds) }

            createTestRelay(tables, process, prompt(12_000), socketReads = process, clock = process).accept(caller)

            process.prefills shouldHaveSize 1
            process.prefillsGivenUp.shouldBeEmpty()
            caller.text shouldBe "answer"
        }

    private fun TestScope.relay(
        process: PausedProcess,
        route: Route,
        prompt: Prompt?,
    ): RequestRelay =
        createTestRelay(
            tablesWith(route, services + decodeEngines),
            process,
            prompt,
            socketReads = process,
            clock = process,
        )

    private fun prompt(tokens: Int) = Prompt(persistentListOf(PromptPart(1, tokens)), tokens, 10)

    private fun answer(vararg events: AttemptEvent): List<List<AttemptEvent>> = listOf(events.toList())

    private fun head(status: Int) = AttemptEvent.Head(AnswerHead(status, persistentListOf()))

    private fun data(text: String) = AttemptEvent.Data(text.encodeToByteString())
}

/**
 * The clock, sockets and first server of a process that does not run for a while.
 *
 * The answer of that server arrives during the pause, and each pass over the sockets reads one element of [passes]. A
 * prefill is answered by the first pass after the pause. Later attempts go to [next].
 */
private class PausedProcess(
    private val scope: TestScope,
    passes: List<List<AttemptEvent>>,
    private val next: BackendConnections? = null,
) : BackendConnections,
    SocketReads,
    Clock {
    private val unread = passes.toMutableList()
    private val read = Channel<AttemptEvent>(Channel.UNLIMITED)
    private val prefillAnswers = Channel<PrefillOutcome>(Channel.UNLIMITED)
    private val running = scope.virtualClock()
    private var paused = Duration.ZERO
    val orders = mutableListOf<RunOrder>()
    val prefills = mutableListOf<RunOrder>()
    val prefillsGivenUp = mutableListOf<RunOrder>()
    var readsAfterPause = 0
        private set

    override fun now(): Instant = running.now() + paused

    suspend fun pause(
        after: Duration,
        length: Duration,
    ) {
        delay(after)
        paused += length
    }

    override suspend fun awaitNext() {
        if (paused > Duration.ZERO) readsAfterPause += 1
        if (paused > Duration.ZERO && unread.isNotEmpty()) unread.removeAt(0).forEach(read::trySend)
        prefills.lastOrNull()?.let {
            prefillAnswers.trySend(PrefillOutcome.Ready(CacheSource(it.backend.address, "handle"), tokens = 1))
        }
        yield()
    }

    override suspend fun open(
        order: RunOrder,
        body: WholeBody,
    ): AttemptStream {
        orders += order
        if (next != null && (orders.size > 1 || prefills.isNotEmpty())) return next.open(order, body)
        return object : AttemptStream {
            override suspend fun next(): AttemptEvent = read.receive()

            override fun cancel() {
                read.trySend(AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED))
            }
        }
    }

    override suspend fun prefill(
        order: RunOrder,
        body: WholeBody,
    ): PrefillOutcome {
        prefills += order
        var answered = false
        try {
            return prefillAnswers.receive().also { answered = true }
        } finally {
            if (!answered) prefillsGivenUp += order
        }
    }

    override fun release(cache: CacheSource) = Unit
}
