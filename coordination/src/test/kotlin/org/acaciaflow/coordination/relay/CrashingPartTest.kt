package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.crash.CrashRecorder
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashingPartTest : AnnotationSpec() {
    private val route = route(RequestKind.EventStream(resumable = true), ENGINE_POOL)
    private val engines = (1..6).map { backend("decode-$it", ENGINE_POOL, EngineRole.DECODE) }
    private val first = PromptPart(1, 100)
    private val deadly = PromptPart(666, 40)

    private companion object {
        val HEAD = AttemptEvent.Head(AnswerHead(LetterFraming.STREAM_STATUS, persistentListOf()))
    }

    // Guards against requests that share a crashing prompt part, none like another, crashing one server after the other.
    @Test
    fun `a prompt part that crashes servers stops reaching them although no two requests are alike`() =
        runTest {
            val fleet = CrashingFleet(tablesWith(route, engines))

            repeat(60) { number ->
                serve(fleet, number, listOf(first, deadly))
                repeat(3) { serve(fleet, 1_000 + number * 10 + it, listOf(first, PromptPart(20L + it, 40))) }
            }

            fleet.deadlyOrders shouldBeLessThanOrEqual 5
        }

    // Guards against missing crashes at servers whose answers have no length and just end with their connection.
    @Test
    fun `a crash that ends an answer without length at its start counts as one`() =
        runTest {
            val fleet = CrashingFleet(tablesWith(route, engines), deadlyAnswer = listOf(HEAD, AttemptEvent.End))

            repeat(60) { serve(fleet, it, listOf(first, deadly)) }

            fleet.deadlyOrders shouldBeLessThanOrEqual 5
        }

    // Guards against refusing sound requests that share their first part with the crashing ones.
    @Test
    fun `sound requests with the same first part go on while a part crashes servers`() =
        runTest {
            val fleet = CrashingFleet(tablesWith(route, engines))

            val served =
                (0 until 60).flatMap { number ->
                    serve(fleet, number, listOf(first, deadly))
                    (0..2).map { serve(fleet, 1_000 + number * 10 + it, listOf(first, PromptPart(20L + it, 40))) }
                }

            served.count { it } shouldBe served.size
        }

    // Guards against sending on a request whose part became known for crashes while its KV cache was fetched in vain.
    @Test
    fun `a part that comes into quarantine during a refused fetch is not sent again`() =
        runTest {
            val prefillEngine = backend("prefill", ENGINE_POOL, EngineRole.PREFILL)
            val tables = tablesWith(route, engines + prefillEngine)
            val sound = ScriptedConnections(mutableListOf(Reaction.Refuses(AttemptRefusal.CACHE_UNAVAILABLE)))
            val connections =
                object : BackendConnections by sound {
                    override suspend fun open(
                        order: RunOrder,
                        body: WholeBody,
                    ): AttemptStream {
                        crash(tables, CrashSubject.Part(deadly.key), lives = 1..3)
                        return sound.open(order, body)
                    }
                }
            val parts = persistentListOf(deadly, PromptPart(7, 12_000))
            val caller = FakeCaller()

            createTestRelay(tables, connections, Prompt(parts, 12_040, 10)).accept(caller)

            sound.orders shouldHaveSize 1
            caller.refusal shouldBe NotRun.CRASH_SUSPECT
        }

    // Guards against refusing a part for two minutes because servers that were in use with it failed for another reason.
    @Test
    fun `a part that was served before is served again soon after servers failed for another reason`() =
        runTest {
            val fleet = CrashingFleet(tablesWith(route, engines))
            serve(fleet, 1, listOf(first))
            crash(fleet.tables, CrashSubject.Part(first.key), lives = 1..3)

            val served =
                (1..60).map { number ->
                    delay(500.milliseconds)
                    serve(fleet, 10 + number, listOf(first))
                }

            served.take(5) shouldBe List(5) { false }
            served.drop(6) shouldBe List(54) { true }
        }

    // Guards against trials that are used up by requests that are not sent, since the servers are not back yet.
    @Test
    fun `a part is tried when servers are back that take longer to start`() =
        runTest {
            val fleet = CrashingFleet(tablesWith(route, engines))
            serve(fleet, 1, listOf(first))
            val entries =
                fleet.tables.fleet
                    .snapshot()
                    .entries
            crash(fleet.tables, CrashSubject.Part(first.key), lives = 1..3)
            fleet.tables.fleet.update { it.copy(entries = it.entries.clear()) }
            repeat(20) {
                delay(1.seconds)
                serve(fleet, 10 + it, listOf(first))
            }

            fleet.tables.fleet.update { it.copy(entries = entries) }

            serve(fleet, 100, listOf(first)) shouldBe true
        }

    // Guards against trials that let a part crash server after server although it was served before.
    @Test
    fun `a part that was served before and crashes servers now reaches no more than two after its quarantine`() =
        runTest {
            val fleet = CrashingFleet(tablesWith(route, engines))
            serve(fleet, 1, listOf(first))
            crash(fleet.tables, CrashSubject.Part(first.key), lives = 1..3)

            repeat(200) { number ->
                delay(500.milliseconds)
                serve(fleet, 10 + number, listOf(first), isDeadly = true)
            }

            fleet.deadlyOrders shouldBeLessThanOrEqual 2
        }

    // Guards against one more server that crashes on a request that waits there when its part becomes known.
    @Test
    fun `an attempt that has not begun is given up when its part comes into quarantine`() =
        runTest {
            val caller = startThenCrash(Reaction.StaysSilent, deadly)

            caller.refusal shouldBe MayHaveRun.CRASH_SUSPECT
            currentTime shouldBe 100
        }

    // Guards against cutting answers that are in progress, and against giving up what must not be sent again.
    @Test
    fun `an attempt goes on that has begun, must not be repeated or has a part that was served before`() =
        runTest {
            val slow = Reaction.Paces(listOf("a", "b", "c"), 40.milliseconds, endless = false)
            val late = slow.copy(gap = 150.milliseconds)
            val once = route.copy(kind = RequestKind.EventStream(resumable = false))

            startThenCrash(slow, deadly).text shouldBe "abc"
            startThenCrash(late, deadly, once).text shouldBe "abc"
            startThenCrash(late, first).text shouldBe "abc"
        }

    /** Sends a request with [part] to a server with [reaction]; after 100 ms the part is known for three crashes. */
    private suspend fun TestScope.startThenCrash(
        reaction: Reaction,
        part: PromptPart,
        route: Route = this@CrashingPartTest.route,
    ): FakeCaller {
        val tables = tablesWith(route, engines)
        tables.crashes.update { CrashQuarantine.served(it, CrashSubject.Part(first.key), virtualClock().now()) }
        val recorder = CrashRecorder(tables.crashes, tables.startingAttempts, FakeObservations())
        val prompt = Prompt(persistentListOf(part, PromptPart(7, 30)), part.tokens + 30, 10)
        val caller = FakeCaller()
        val crashes =
            launch {
                delay(100.milliseconds)
                val now = virtualClock().now()
                (1..3).forEach { recorder.crashed(CrashSubject.Part(part.key), lifeCode = it, at = now, now) }
            }
        createTestRelay(tables, ScriptedConnections(mutableListOf(reaction)), prompt).accept(caller)
        crashes.join()
        return caller
    }

    private fun TestScope.crash(
        tables: RelayTables,
        subject: CrashSubject,
        lives: IntRange,
    ) {
        val now = virtualClock().now()
        tables.crashes.update { reports ->
            lives.fold(reports) { known, life -> CrashQuarantine.crashed(known, subject, life, now) }
        }
    }

    /** Sends a request with [sharedParts] and a part of its own; returns true if it was answered completely. */
    private suspend fun TestScope.serve(
        fleet: CrashingFleet,
        number: Int,
        sharedParts: List<PromptPart>,
        isDeadly: Boolean = deadly in sharedParts,
    ): Boolean {
        val parts = persistentListOf<PromptPart>().addAll(sharedParts).add(PromptPart(10_000L + number, 30))
        val prompt = Prompt(parts, parts.sumOf { it.tokens }, 10)
        fleet.startsDeadly = isDeadly
        val caller = FakeCaller("/calls/$number")
        createTestRelay(fleet.tables, fleet, prompt).accept(caller)
        return caller.ended
    }
}

/** Servers that crash, and start again as another life, when they start to write an answer to a deadly request. */
private class CrashingFleet(
    val tables: RelayTables,
    private val deadlyAnswer: List<AttemptEvent> = listOf(AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)),
) : BackendConnections {
    private val sound = ScriptedConnections(MutableList(1_000) { Reaction.Streams(breakAt = null) })
    var startsDeadly = false
    var deadlyOrders = 0
        private set

    override suspend fun open(
        order: RunOrder,
        body: WholeBody,
    ): AttemptStream {
        if (!startsDeadly) return sound.open(order, body)
        deadlyOrders += 1
        val life = order.backend.life
        val restarted = order.backend.copy(life = life.copy(startedAtMilliseconds = life.startedAtMilliseconds + 1))
        tables.fleet.update { it.copy(entries = it.entries.put(life.instance, restarted)) }
        return CrashedStream(deadlyAnswer)
    }

    override suspend fun prefill(
        order: RunOrder,
        body: WholeBody,
    ): PrefillOutcome = sound.prefill(order, body)

    override fun release(cache: CacheSource) = sound.release(cache)
}

private class CrashedStream(
    events: List<AttemptEvent>,
) : AttemptStream {
    private val remaining = events.iterator()

    override suspend fun next(): AttemptEvent = remaining.next()

    override fun cancel() = Unit
}
