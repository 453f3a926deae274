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

/** A request that crashes each engine that runs it. */
internal class CrashSuspectTest : SiteSpec() {
    @Test
    suspend fun `it takes down at most two engines however often and wherever it is sent`() {
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
    suspend fun `requests that ran beside it are answered whole`() {
        val client = TrialClient(site.vertx)
        val crashing = TrialCalls.threadQuery("${EngineCall.CRASH_MARK} beside others")
        val before = crashes()

        val answers = beside(client) { client.send(site.gateways[0], crashing) }

        answers.mapNotNull { it.fault }.shouldBeEmpty()
        (crashes() - before) shouldBeInRange 1..2
    }

    private suspend fun beside(
        client: TrialClient,
        disturbance: suspend () -> TrialAnswer,
    ): List<TrialAnswer> =
        coroutineScope {
            val others =
                (1..8).map { number ->
                    async { client.send(site.gateways[number % 2], TrialCalls.threadQuery("bystander $number", 200)) }
                }
            disturbance()
            others.awaitAll()
        }

    private fun crashes(): Int = site.engines.values.sumOf { it.crashes }
}
