package org.acaciaflow.protocol.execution

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.state.refusal.NotRun
import kotlin.coroutines.coroutineContext
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Runs non-idempotent requests under random faults of store, links, gateways and sidecars, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class AtMostOnceTest : AnnotationSpec() {
    @Test
    fun `without faults a request and its resends run once and get the same answer`() {
        val outcome = simulate(Scenario(seed = 1, faultRate = 0.0, kills = false, outages = false))

        outcome.executions.values.toSet() shouldBe setOf(1)
        outcome.calls.groupBy { it.claim }.values.forEach { sends ->
            sends.map { it.received }.toSet().size shouldBe 1
            sends.all { it.completed } shouldBe true
        }
    }

    @Test
    fun `no claim runs twice and a claim whose every send was refused as not run never ran`() {
        for (seed in SEEDS) {
            val outcome = simulate(Scenario(seed, faultRate = 0.1, kills = true, outages = true))

            withClue("seed $seed") { outcome.assertAtMostOnce() }
        }
    }

    @Test
    fun `calls are refused and not executed while the store is down`() {
        val outcome = simulate(Scenario(seed = 2, faultRate = 0.0, kills = false, outages = false, alwaysDown = true))

        outcome.executions shouldBe emptyMap()
        outcome.calls.forEach { it.refusal.shouldNotBeNull() }
    }

    private fun simulate(scenario: Scenario): Outcome {
        var outcome: Outcome? = null
        runTest(timeout = 2.minutes) {
            outcome = run(scenario)
            coroutineContext.cancelChildren()
        }
        return checkNotNull(outcome)
    }

    private suspend fun TestScope.run(scenario: Scenario): Outcome {
        val random = Random(scenario.seed)
        val clock =
            object : Clock {
                override fun now(): Instant = Instant.fromEpochMilliseconds(START_EPOCH_MILLISECONDS + currentTime)
            }
        val store = FakeKeyValueStore(this, random, scenario.faultRate)
        store.down = scenario.alwaysDown
        val sidecars = FakeSidecars(this, random, scenario.faultRate)
        var startNumber = 0L
        val startGateway = { index: Int ->
            FakeGateway(index, ++startNumber, this, store, sidecars, sidecars::registerIn, clock, random)
        }
        val gateways = MutableList(GATEWAYS) { startGateway(it) }
        var calls = listOf<FakeCallerExchange>()
        repeat(STEPS) {
            val call = FakeCallerExchange("claim-${random.nextInt(CLAIMS)}")
            calls = calls + call
            gateways.random(random).accept(call)
            delay(random.nextLong(MAXIMUM_STEP_MILLISECONDS))
            if (scenario.kills && random.nextDouble() < DISRUPTION_RATE) {
                val index = random.nextInt(GATEWAYS)
                gateways[index].kill()
                gateways[index] = startGateway(index)
            }
            if (scenario.kills && random.nextDouble() < DISRUPTION_RATE) {
                sidecars.restart(1 + random.nextInt(FakeSidecars.SIDECARS))
            }
            if (scenario.outages && random.nextDouble() < DISRUPTION_RATE) store.down = !store.down
        }
        delay(COMPLETION_WAIT_MILLISECONDS)
        return Outcome(sidecars.executions, calls)
    }

    private data class Scenario(
        val seed: Int,
        val faultRate: Double,
        val kills: Boolean,
        val outages: Boolean,
        val alwaysDown: Boolean = false,
    )

    private class Outcome(
        val executions: Map<String, Int>,
        val calls: List<FakeCallerExchange>,
    ) {
        fun assertAtMostOnce() {
            executions.filterValues { it > 1 } shouldBe emptyMap()
            calls.groupBy { it.claim }.forEach { (claim, sends) ->
                if (sends.all { it.refusal is NotRun }) executions shouldNotContainKey claim
                sends.filter { it.completed }.forEach { it.received shouldBe "$claim-1" }
            }
        }
    }

    private companion object {
        val SEEDS = 1..60
        const val START_EPOCH_MILLISECONDS = 1_000_000_000L
        const val GATEWAYS = 3
        const val CLAIMS = 12
        const val STEPS = 60
        const val MAXIMUM_STEP_MILLISECONDS = 400L
        const val DISRUPTION_RATE = 0.08
        const val COMPLETION_WAIT_MILLISECONDS = 20_000L
    }
}
