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

/** Stops sidecars and gateways under load, without any change to the host list. */
class GracefulShutdownTest : AnnotationSpec() {
    private lateinit var site: TestSite

    @BeforeEach
    fun start() {
        site = TestSite()
        runBlocking { site.start() }
    }

    @AfterEach
    fun stop() = runBlocking { site.stop() }

    @Test
    suspend fun `a sidecar that shuts down interrupts no request and gets no new work`() {
        val client = TrialClient(site.vertx)

        val during = underLoad(client, calls = 60, SERVABLE_TOKENS) { site.stopSidecar("loom-1") }
        val after = (1..10).map { client.send(site.gateways[it % 2], TrialCalls.threadQuery("after $it")) }

        during.mapNotNull { it.fault }.shouldBeEmpty()
        during.filter { it.backend == "loom-1" }.shouldNotBeEmpty()
        site.engines.values.sumOf { it.cancelledCalls } shouldBe 0
        after.mapNotNull { it.fault }.shouldBeEmpty()
        after.map { it.backend } shouldNotContain "loom-1"
    }

    /** One sidecar alone runs these calls in three waves, which take longer than their deadline of 10 s. */
    @Test
    suspend fun `calls beyond what is left when a sidecar shuts down are refused and have not run`() {
        val client = TrialClient(site.vertx)
        val acceptedBefore = site.engines.values.sumOf { it.acceptedCalls }

        val during = underLoad(client, calls = 60, ANSWER_TOKENS) { site.stopSidecar("loom-1") }

        val refused = during.filter { it.fault != null }
        refused.filterNot { it.status == UNAVAILABLE && "not-run" in it.body }.shouldBeEmpty()
        site.engines.values.sumOf { it.acceptedCalls } - acceptedBefore shouldBe (during.size - refused.size).toLong()
        site.engines.values.sumOf { it.cancelledCalls } shouldBe 0
    }

    @Test
    suspend fun `a gateway that shuts down answers the calls it has accepted`() {
        val client = TrialClient(site.vertx)

        val answers =
            coroutineScope {
                val accepted =
                    (1..30).map { number ->
                        async { client.send(site.gateways[0], TrialCalls.threadQuery("before $number", ANSWER_TOKENS)) }
                    }
                delay(ACCEPTANCE_MILLISECONDS)
                site.stopGateway(0)
                accepted.awaitAll()
            }

        answers.mapNotNull { it.fault }.shouldBeEmpty()
    }

    private suspend fun underLoad(
        client: TrialClient,
        calls: Int,
        tokens: Int,
        change: suspend () -> Unit,
    ): List<TrialAnswer> =
        coroutineScope {
            val answers =
                (1..calls).map { number ->
                    async {
                        delay(number * CALL_SPACING_MILLISECONDS)
                        client.send(site.gateways[number % 2], TrialCalls.threadQuery("during $number", tokens))
                    }
                }
            delay(CALL_SPACING_MILLISECONDS * calls / 2)
            change()
            answers.awaitAll()
        }

    private companion object {
        const val ANSWER_TOKENS = 1500
        const val SERVABLE_TOKENS = 250 // one sidecar alone serves all calls within their deadline
        const val UNAVAILABLE = 503
        const val CALL_SPACING_MILLISECONDS = 40L
        const val ACCEPTANCE_MILLISECONDS = 300L
    }
}
