package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.route.RequestKind
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class PromptSizeAdmissionTest : AnnotationSpec() {
    private val engines =
        listOf(
            backend("prefill", ENGINE_POOL, EngineRole.PREFILL),
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
        )
    private val route =
        route(RequestKind.EventStream(resumable = true), ENGINE_POOL, urgency = 2)
            .copy(target = 300.milliseconds, timeout = 2_500.milliseconds)

    // Guards against refusing the large prompts of a kind at queues at which its small prompts are served.
    @Test
    fun `the largest prompts of a kind are served no less than half as often as all of it, whatever the queue`() =
        runTest {
            val results = (0..24).flatMap { queue -> serveBehind(queue) }.sortedByDescending { it.tokens }
            val tenth = results.size / 10

            val all = servedShare(results)
            val largestTenth = servedShare(results.take(tenth))
            val fifthBelow = servedShare(results.subList(tenth, tenth * 3))

            all shouldBeLessThan 0.9
            largestTenth shouldBeGreaterThanOrEqual all / 2
            fifthBelow shouldBeGreaterThanOrEqual all / 2
        }

    /** Serves prompts of one kind and many sizes, at engines with [queue] long prompts before them. */
    private suspend fun TestScope.serveBehind(queue: Int): List<Result> {
        val random = Random(queue)
        val tables = tablesWith(route, engines)
        val now = virtualClock().now()
        for (engine in engines) {
            for (job in 1..queue) {
                val identity = JobIdentity(QUEUED_JOBS + job)
                tables.load.update { LoadLedger.sent(it, engine.life, identity, 150.milliseconds, 100, now) }
            }
        }
        return List(60) { number ->
            val tokens = (600 * exp(2.5 * random.nextDouble())).toInt()
            val caller = FakeCaller()
            val connections = ScriptedConnections(mutableListOf(Reaction.Streams(breakAt = null)))
            createTestRelay(tables, connections, prompt(number, tokens)).accept(caller)
            Result(tokens, served = caller.refusal == null)
        }
    }

    private fun prompt(
        number: Int,
        tokens: Int,
    ) = Prompt(persistentListOf(PromptPart(1, 500), PromptPart(100L + number, tokens)), 500 + tokens, 3)

    private fun servedShare(results: List<Result>): Double = results.count { it.served } / results.size.toDouble()

    private data class Result(
        val tokens: Int,
        val served: Boolean,
    )

    private companion object {
        const val QUEUED_JOBS = 1_000_000L
    }
}
