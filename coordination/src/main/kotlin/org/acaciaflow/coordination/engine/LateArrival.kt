package org.acaciaflow.coordination.engine

import org.acaciaflow.state.route.Route
import kotlin.time.Duration

/**
 * Refuses generations at their arrival when their first event would come far too late.
 *
 * Serving them all the same would make those behind them late as well. Less urgent ones are refused sooner, so that
 * urgent ones find room.
 */
object LateArrival {
    /** True when [predicted] is too long for a request of [route] to be taken on. */
    fun isTooLate(
        route: Route,
        predicted: Duration,
    ): Boolean = predicted > route.target * tolerance(route.urgency)

    /**
     * When a refused caller with [timeLeft] should come back: as late as callers heed, since a burst may have passed by
     * then. [spread] from 0 to 1 keeps callers that were refused together from coming back together.
     */
    fun retryAfter(
        timeLeft: Duration,
        spread: Double,
    ): Duration = timeLeft * HEEDED_SHARE * (1 - SPREAD_SHARE * spread)

    private fun tolerance(urgency: Int): Double = LEAST_TOLERANCE + URGENT_TOLERANCE / (1 + urgency)

    private const val LEAST_TOLERANCE = 0.8
    private const val URGENT_TOLERANCE = 1.6 // urgent requests are short, so that late ones cost others little
    private const val HEEDED_SHARE = 0.33 // callers heed a third of the time that they have left
    private const val SPREAD_SHARE = 0.4
}
