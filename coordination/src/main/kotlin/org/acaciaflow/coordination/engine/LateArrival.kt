package org.acaciaflow.coordination.engine

import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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

    /** When a refused caller should come back: about when the work before it is done. */
    fun retryAfter(
        route: Route,
        predicted: Duration,
    ): Duration = (predicted - route.target / 2).coerceIn(SOONEST, LATEST)

    private fun tolerance(urgency: Int): Double = LEAST_TOLERANCE + URGENT_TOLERANCE / (1 + urgency)

    private const val LEAST_TOLERANCE = 0.8
    private const val URGENT_TOLERANCE = 1.6 // urgent requests are short, so that late ones cost others little
    private val SOONEST: Duration = 250.milliseconds
    private val LATEST: Duration = 2.seconds // callers heed a third of the time that they have left
}
