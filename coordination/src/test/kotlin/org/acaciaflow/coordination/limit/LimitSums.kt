package org.acaciaflow.coordination.limit

/** A window of four seconds that ends at [second]: [count] requests where [allowed] were. */
internal data class WorstWindow(
    val count: Int,
    val allowed: Double,
    val second: Double,
) {
    val share: Double
        get() = count / allowed
}

/** Measures what a server got against its limit, as the platform's rule does. */
internal object LimitSums {
    /** Returns the worst window for [server] that lies between [from] and [until]. */
    fun worst(
        scenario: LimitScenario,
        requests: List<SimulatedRequest>,
        server: Int,
        from: Double,
        until: Double,
    ): WorstWindow {
        val counted = requests.filter { it.server == server && it.counts && scenario.counts(it.gateway, it.second) }
        var worst = WorstWindow(0, 5.0, from)
        var first = 0
        for ((index, request) in counted.withIndex()) {
            if (request.second > until) break
            while (counted[first].second <= request.second - WINDOW) first += 1
            if (request.second - WINDOW < from) continue
            val allowed = FACTOR * allowedBetween(scenario, server, request.second - WINDOW, request.second) + EXTRA
            val window = WorstWindow(index - first + 1, allowed, request.second)
            if (window.share > worst.share) worst = window
        }
        return worst
    }

    /** Returns the share of the limit that [server] got between [from] and [until]. */
    fun use(
        scenario: LimitScenario,
        requests: List<SimulatedRequest>,
        server: Int,
        from: Double,
        until: Double,
    ): Double {
        val count = requests.count { it.server == server && it.second in from..until }
        return count / allowedBetween(scenario, server, from, until)
    }

    /** The integral of the limit, where a machine has half a second to follow a change. */
    private fun allowedBetween(
        scenario: LimitScenario,
        server: Int,
        from: Double,
        until: Double,
    ): Double {
        val steps = maxOf(1, ((until - from) / STEP).toInt())
        return (0 until steps).sumOf { step ->
            val second = from + (until - from) * (step + 0.5) / steps
            val limits = listOf(second, second - GRACE).map { scenario.limit(server, it) ?: NO_LIMIT }
            limits.max() * (until - from) / steps
        }
    }

    private const val WINDOW = 4.0
    private const val FACTOR = 1.5
    private const val EXTRA = 5.0
    private const val GRACE = 0.5
    private const val STEP = 0.05
    private const val NO_LIMIT = 1e6
}
