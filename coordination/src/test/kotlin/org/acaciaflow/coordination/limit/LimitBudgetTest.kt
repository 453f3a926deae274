package org.acaciaflow.coordination.limit

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against gateways that together send a server more than it said it takes, or far less. */
class LimitBudgetTest : AnnotationSpec() {
    /** Guards against gateways that each send the whole limit, and against parts that leave most of it unused. */
    @Test
    fun `five gateways keep any limit together and use it`() {
        for (limit in LIMITS) {
            check("limit $limit", five(limit).copy(demand = { _, _ -> maxOf(4.0, limit / 2) }), seconds = 150.0)
        }
    }

    /** Guards against parts that stay where the demand was. */
    @Test
    fun `the limit follows the demand from gateway to gateway`() {
        for (limit in LIMITS) {
            val all = maxOf(20.0, limit * 2)
            val shifting = { gateway: Int, second: Double -> if ((second / 15).toInt() % 5 == gateway) all else 0.0 }
            check("shifting demand, limit $limit", five(limit).copy(demand = shifting), seconds = 150.0)
        }
    }

    /** Guards against a limit that is wasted on gateways without callers. */
    @Test
    fun `all calls at one gateway use the limit`() {
        for (limit in LIMITS) {
            val scenario =
                five(limit).copy(demand = { gateway, _ ->
                    if (gateway ==
                        2
                    ) {
                        maxOf(20.0, limit * 2)
                    } else {
                        0.0
                    }
                })
            check("one gateway, limit $limit", scenario, seconds = 150.0)
        }
    }

    /** Guards against sums that hold only while every report arrives in time. */
    @Test
    fun `reports that are late, lost or out of order do not break the sum`() {
        for (limit in LIMITS) {
            for ((loss, delay) in listOf(0.3 to 0.005, 0.0 to 0.3, 0.5 to 0.2)) {
                val random = Random(5)
                val demands = List(100) { List(5) { random.nextDouble() * maxOf(8.0, limit) } }
                val scenario =
                    five(limit).copy(
                        demand = { gateway, second -> demands[(second / 5).toInt() % 100][gateway] },
                        lossShare = loss,
                        reportDelay = delay,
                    )
                check("loss $loss, delay $delay, limit $limit", scenario, seconds = 150.0)
            }
        }
    }

    /** Guards against tokens or parts of a former limit. */
    @Test
    fun `a limit that changes is followed`() {
        for (seed in 1..5) {
            val random = Random(seed)
            val limits = List(100) { listOf(0.0, 0.3, 1.0, 3.0, 4.3, 5.7, 12.0, 100.0).random(random) }
            val scenario =
                five(0.0).copy(
                    limit = { _, second -> limits[(second.coerceAtLeast(0.0) / 10).toInt() % 100] },
                    demand = { _, _ -> 30.0 },
                )
            check("changing limits, seed $seed", scenario, seconds = 300.0)
        }
    }

    /** Guards against a new gateway that adds a part of its own to those of the others. */
    @Test
    fun `a gateway that joins does not break the sum`() {
        for (limit in LIMITS) {
            val scenario =
                five(limit).copy(
                    startsAt = { if (it == 4) 20.3 else 0.0 },
                    demand = { gateway, second -> if (gateway == 4 && second < 20.3) 0.0 else maxOf(4.0, limit) },
                )
            check("join, limit $limit", scenario, seconds = 60.0)
        }
    }

    /** Guards against a restarted gateway that starts with a burst or takes a part twice. */
    @Test
    fun `a gateway that restarts does not break the sum`() {
        for (limit in LIMITS) {
            val scenario = five(limit).copy(restartsAt = { 20.0 + it * 7 }, demand = { _, _ -> maxOf(4.0, limit) })
            check("restarts, limit $limit", scenario, seconds = 80.0)
        }
    }

    /** Guards against a sum that breaks when gateways hear nothing of each other. */
    @Test
    fun `a gateway that is cut or silent does not break the sum of all`() {
        for (limit in LIMITS) {
            val cut = five(limit).copy(isCut = { gateway, second -> gateway == 1 && second in 20.0..60.0 })
            val silent = five(limit).copy(isSilent = { gateway, second -> gateway == 1 && second in 20.0..60.0 })
            for ((name, scenario) in listOf("cut" to cut, "silent" to silent)) {
                val shifting = { gateway: Int, second: Double ->
                    if ((second / 20).toInt() % 2 == gateway % 2) maxOf(8.0, limit) else maxOf(1.0, limit / 8)
                }
                check("$name, limit $limit", scenario.copy(demand = shifting), seconds = 100.0)
            }
        }
    }

    /** Guards against a server that is held back although it names no limit any more. */
    @Test
    fun `all gateways send freely within five seconds after a limit ends`() {
        for (limit in listOf(0.0, 0.3, 1.0, 4.3, 12.0)) {
            for (seed in 1..5) {
                val scenario =
                    five(limit).copy(
                        limit = { _, second -> limit.takeIf { second < 30.0 } },
                        demand = { _, _ -> 4.0 },
                        lossShare = 0.2,
                    )

                val simulation = LimitSimulation(scenario, seed).run(35.0)

                withClue("limit $limit, seed $seed") {
                    simulation.isOpenEverywhere(server = 0, second = 35.0) shouldBe
                        true
                }
            }
        }
    }

    /** Guards against parts that are useless at the size to design for, and decisions that take too long. */
    @Test
    fun `many gateways keep the limits of 600 servers`() {
        for ((gateways, perSecond) in listOf(33 to 5.7, 33 to 0.3, 390 to 4.3)) {
            val seconds = if (gateways > 100) 30.0 else 15.0 // reports of many gateways are 12 s apart
            val scenario =
                LimitScenario(
                    gateways = gateways,
                    servers = 600,
                    pools = 16,
                    limit = { _, _ -> perSecond },
                    demand = { _, _ -> 600.0 * maxOf(perSecond, 1.0) * 1.2 / 16 / gateways },
                )

            val simulation = LimitSimulation(scenario, seed = 7).run(seconds)

            val byServer = simulation.requests.groupBy { it.server }
            val worst =
                (0 until 600)
                    .map { LimitSums.worst(scenario, byServer[it].orEmpty(), it, from = 3.0, until = seconds) }
                    .maxBy { it.share }
            val use = simulation.requests.count { it.second > 10.0 } / (perSecond * 600 * (seconds - 10.0))
            val decision = simulation.claimNanoseconds / simulation.claims / 1000.0 / (600 / 16)
            val declaration = simulation.declareNanoseconds / simulation.declarations / 1000
            println(
                "$gateways gateways, 600 servers, limit $perSecond: worst $worst, use $use, decision for one server " +
                    "$decision us, parts of all and a report $declaration us, entries ${simulation.largestReport}",
            )
            worst.count.toDouble() shouldBeLessThanOrEqualTo worst.allowed
            use shouldBeGreaterThanOrEqualTo 0.4
            decision shouldBeLessThan 100.0
        }
    }

    private fun five(limit: Double) =
        LimitScenario(gateways = 5, servers = 1, pools = 1, limit = { _, _ -> limit }, demand = { _, _ -> 4.0 })

    private fun check(
        name: String,
        scenario: LimitScenario,
        seconds: Double,
    ) {
        for (seed in 1..2) {
            val simulation = LimitSimulation(scenario, seed).run(seconds)

            val worst = LimitSums.worst(scenario, simulation.requests, server = 0, from = 3.0, until = seconds)
            val use = LimitSums.use(scenario, simulation.requests, server = 0, from = 8.0, until = seconds)
            println("$name, seed $seed: worst ${worst.count} of ${worst.allowed} at ${worst.second}, use $use")
            withClue("$name, seed $seed") {
                worst.count.toDouble() shouldBeLessThanOrEqualTo worst.allowed
                use shouldBeGreaterThanOrEqualTo 0.4
            }
        }
    }

    private companion object {
        val LIMITS = listOf(0.3, 1.0, 4.3, 5.7, 12.0, 100.0)
    }
}
