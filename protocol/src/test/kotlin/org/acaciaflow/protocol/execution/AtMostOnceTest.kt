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

/** Non-idempotent requests under random faults of store, links, gateways and sidecars, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class AtMostOnceTest : AnnotationSpec() {
    @Test
    fun `without faults a request and its resends run once and get one answer`() {
        val outcome = simulate(Schedule(seed = 1, faultShare = 0.0, kills = false, outages = false))

        outcome.executions.values.toSet() shouldBe setOf(1)
        outcome.calls.groupBy { it.claim }.values.forEach { sends ->
            sends.map { it.received }.toSet().size shouldBe 1
            sends.all { it.whole } shouldBe true
        }
    }

    @Test
    fun `no claim runs twice and none that was refused as not run has run`() {
        for (seed in SEEDS) {
            val outcome = simulate(Schedule(seed, faultShare = 0.1, kills = true, outages = true))

            withClue("seed $seed") { outcome.check() }
        }
    }

    @Test
    fun `a store that is down refuses as this call not run`() {
        val outcome = simulate(Schedule(seed = 2, faultShare = 0.0, kills = false, outages = false, alwaysDown = true))

        outcome.executions shouldBe emptyMap()
        outcome.calls.forEach { it.refusal.shouldNotBeNull() }
    }

    private fun simulate(schedule: Schedule): Outcome {
        var outcome: Outcome? = null
        runTest(timeout = 2.minutes) {
            outcome = run(schedule)
            coroutineContext.cancelChildren()
        }
        return checkNotNull(outcome)
    }

    private suspend fun TestScope.run(schedule: Schedule): Outcome {
        val random = Random(schedule.seed)
        val clock =
            object : Clock {
                override fun now(): Instant = Instant.fromEpochMilliseconds(EPOCH + currentTime)
            }
        val store = FakeKeyValueStore(this, random, schedule.faultShare)
        store.down = schedule.alwaysDown
        val sidecars = FakeSidecars(this, random, schedule.faultShare)
        var lives = 0L
        val create = { index: Int ->
            FakeGateway(index, ++lives, this, store, sidecars, sidecars::showTo, clock, random)
        }
        val gateways = MutableList(GATEWAYS) { create(it) }
        var calls = listOf<FakeCallerExchange>()
        repeat(STEPS) {
            val call = FakeCallerExchange("claim-${random.nextInt(CLAIMS)}")
            calls = calls + call
            gateways.random(random).accept(call)
            delay(random.nextLong(STEP))
            if (schedule.kills && random.nextDouble() < KILL_SHARE) {
                val index = random.nextInt(GATEWAYS)
                gateways[index].kill()
                gateways[index] = create(index)
            }
            if (schedule.kills && random.nextDouble() < KILL_SHARE) {
                sidecars.replace(1 + random.nextInt(FakeSidecars.SIDECARS))
            }
            if (schedule.outages && random.nextDouble() < KILL_SHARE) store.down = !store.down
        }
        delay(SETTLE)
        return Outcome(sidecars.executions, calls)
    }

    private data class Schedule(
        val seed: Int,
        val faultShare: Double,
        val kills: Boolean,
        val outages: Boolean,
        val alwaysDown: Boolean = false,
    )

    private class Outcome(
        val executions: Map<String, Int>,
        val calls: List<FakeCallerExchange>,
    ) {
        fun check() {
            executions.filterValues { it > 1 } shouldBe emptyMap()
            calls.groupBy { it.claim }.forEach { (claim, sends) ->
                if (sends.all { it.refusal is NotRun }) executions shouldNotContainKey claim
                sends.filter { it.whole }.forEach { it.received shouldBe "$claim-1" }
            }
        }
    }

    private companion object {
        val SEEDS = 1..60
        const val EPOCH = 1_000_000_000L
        const val GATEWAYS = 3
        const val CLAIMS = 12
        const val STEPS = 60
        const val STEP = 400L
        const val KILL_SHARE = 0.08
        const val SETTLE = 20_000L
    }
}
