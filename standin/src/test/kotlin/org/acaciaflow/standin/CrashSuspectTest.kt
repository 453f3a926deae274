package org.acaciaflow.standin

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.acaciaflow.standin.engine.EngineCall
import org.acaciaflow.standin.trial.TrialAnswer
import org.acaciaflow.standin.trial.TrialCalls
import org.acaciaflow.standin.trial.TrialClient

/** Guards against a request that crashes every engine it runs on and, with each resend, takes down one more. */
internal class CrashSuspectTest : SiteSpec() {
    @Test
    suspend fun `a crashing request takes down at most two engines across resends to both gateways`() {
        val client = TrialClient(site.vertx)
        val crashing = TrialCalls.threadQuery("${EngineCall.CRASH_MARK} sequential")
        val before = crashes()

        val first = client.send(site.gateways[0], crashing)
        val resends = (1..5).map { client.send(site.gateways[it % 2], crashing) }

        first.status shouldBe 504
        first.body shouldContain "crash-suspect-ran"
        resends.forEach { it.body shouldContain "\"crash-suspect\"" }
        (crashes() - before) shouldBe 2
    }

    @Test
    suspend fun `requests running alongside a crashing request get complete answers`() {
        val client = TrialClient(site.vertx)
        val crashing = TrialCalls.threadQuery("${EngineCall.CRASH_MARK} beside others")
        val before = crashes()

        val answers = withConcurrentRequests(client) { client.send(site.gateways[0], crashing) }

        answers.mapNotNull { it.fault }.shouldBeEmpty()
        (crashes() - before) shouldBeInRange 1..2
    }

    private suspend fun withConcurrentRequests(
        client: TrialClient,
        crashingCall: suspend () -> TrialAnswer,
    ): List<TrialAnswer> =
        coroutineScope {
            val others =
                (1..8).map { number ->
                    async { client.send(site.gateways[number % 2], TrialCalls.threadQuery("concurrent $number", 200)) }
                }
            crashingCall()
            others.awaitAll()
        }

    private fun crashes(): Int = site.engines.values.sumOf { it.crashes }
}
