package org.acaciaflow.standin

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.acaciaflow.standin.trial.TrialAnswer
import org.acaciaflow.standin.trial.TrialCalls
import org.acaciaflow.standin.trial.TrialClient

/** Planned stops while callers are served; the list of hosts never hears of them. */
class PlannedStopTest : AnnotationSpec() {
    private lateinit var site: TestSite

    @BeforeEach
    fun start() {
        site = TestSite()
        runBlocking { site.start() }
    }

    @AfterEach
    fun stop() = runBlocking { site.stop() }

    @Test
    suspend fun `a stopping sidecar cuts no request and gets no new work`() {
        val client = TrialClient(site.vertx)

        val during = underLoad(client, calls = 60) { site.stopSidecar("loom-1") }
        val after = (1..10).map { client.send(site.gateways[it % 2], TrialCalls.threadQuery("after $it")) }

        during.mapNotNull { it.fault }.shouldBeEmpty()
        during.filter { it.backend == "loom-1" }.shouldNotBeEmpty()
        site.engines.values.sumOf { it.cancelledCalls } shouldBe 0
        after.mapNotNull { it.fault }.shouldBeEmpty()
        after.map { it.backend } shouldNotContain "loom-1"
    }

    @Test
    suspend fun `a stopping gateway answers what it has taken`() {
        val client = TrialClient(site.vertx)

        val answers =
            coroutineScope {
                val taken =
                    (1..30).map { number ->
                        async { client.send(site.gateways[0], TrialCalls.threadQuery("taken $number", LONG_ANSWER)) }
                    }
                delay(TAKEN_IN)
                site.stopGateway(0)
                taken.awaitAll()
            }

        answers.mapNotNull { it.fault }.shouldBeEmpty()
    }

    private suspend fun underLoad(
        client: TrialClient,
        calls: Int,
        change: suspend () -> Unit,
    ): List<TrialAnswer> =
        coroutineScope {
            val answers =
                (1..calls).map { number ->
                    async {
                        delay(number * CALL_SPACING)
                        client.send(site.gateways[number % 2], TrialCalls.threadQuery("during $number", LONG_ANSWER))
                    }
                }
            delay(CALL_SPACING * calls / 2)
            change()
            answers.awaitAll()
        }

    private companion object {
        const val LONG_ANSWER = 1500
        const val CALL_SPACING = 40L
        const val TAKEN_IN = 300L
    }
}
