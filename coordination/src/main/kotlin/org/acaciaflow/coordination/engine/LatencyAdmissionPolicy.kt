package org.acaciaflow.coordination.engine

import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Refuses generations on arrival if their predicted time to the first event far exceeds the target.
 *
 * Serving them anyway would delay the requests queued behind them as well. The tolerance is lower for less urgent
 * requests, which leaves capacity for urgent ones.
 */
object LatencyAdmissionPolicy {
    /** Returns true if [predicted], the time to the first event, is too long to admit a request of [route]. */
    fun isTooLate(
        route: Route,
        predicted: Duration,
    ): Boolean = predicted > route.target * tolerance(route.urgency)

    /** Returns the retry delay for a refused caller: roughly the time until the work queued before it is done. */
    fun retryAfter(
        route: Route,
        predicted: Duration,
    ): Duration = (predicted - route.target / 2).coerceIn(MINIMUM_RETRY_DELAY, MAXIMUM_RETRY_DELAY)

    private fun tolerance(urgency: Int): Double = BASE_TOLERANCE + URGENT_TOLERANCE / (1 + urgency)

    private const val BASE_TOLERANCE = 0.8
    private const val URGENT_TOLERANCE = 1.6 // urgent requests are short, so a late one delays others little
    private val MINIMUM_RETRY_DELAY: Duration = 250.milliseconds
    private val MAXIMUM_RETRY_DELAY: Duration = 2.seconds // callers wait at most a third of their remaining time
}
