package org.acaciaflow.coordination.load

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StaleReportsTest : AnnotationSpec() {
    private val kinds =
        listOf(
            SimulatedKind(promptTokens = 7_500, target = 1.seconds, share = 39.0),
            SimulatedKind(promptTokens = 700, target = 200.milliseconds, share = 56.0),
            SimulatedKind(promptTokens = 2_000, target = 250.milliseconds, share = 79.0),
        )

    @Test
    fun `many gateways that know each other's load a little late do not flood the same engines`() {
        for (gateways in listOf(5, 33, 390)) {
            for (age in listOf(100.milliseconds, 300.milliseconds)) {
                val outcome = simulate(gateways, age)

                withClue("$gateways gateways, reports every $age: $outcome") {
                    outcome.onTime shouldBeGreaterThanOrEqual TARGET_SHARE
                }
            }
        }
    }

    private fun simulate(
        gateways: Int,
        reportAge: Duration,
    ): SimulatedOutcome {
        val fleet = SimulatedFleet(gateways, 12, 30, 174.0 * 1.3, reportAge, kinds)
        return FleetSimulation(fleet, SEED).play(20.seconds)
    }

    private companion object {
        const val TARGET_SHARE = 0.95 // the first token is on time for 95 in 100
        const val SEED = 7
    }
}
