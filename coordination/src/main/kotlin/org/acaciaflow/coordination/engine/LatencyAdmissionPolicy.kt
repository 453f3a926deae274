package org.acaciaflow.coordination.engine

import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Refuses generations on arrival that would wait too long for the work queued before them.
 *
 * Serving them anyway would delay the requests queued behind them as well. The tolerance is lower for less urgent
 * requests, which leaves capacity for urgent ones. The prefill of a request itself does not count as waiting, so that
 * long prompts are treated like short ones as long as they can be served within the caller's time.
 */
object LatencyAdmissionPolicy {
    /** Returns true if a request of [route] on [path] waits too long, or cannot start within [timeLeft]. */
    fun isTooLate(
        route: Route,
        path: EnginePath,
        timeLeft: Duration,
    ): Boolean = path.waiting > route.target * tolerance(route.urgency) || !canStart(path, timeLeft)

    /** Returns true if a request on [path] can start within [timeLeft]. */
    fun canStart(
        path: EnginePath,
        timeLeft: Duration,
    ): Boolean = path.predicted <= timeLeft * USABLE_TIME_SHARE

    /** Returns true if a request on [path] that its engine admits before all others can start within [timeLeft]. */
    fun canStartFirst(
        path: EnginePath,
        timeLeft: Duration,
    ): Boolean = path.work <= timeLeft

    /** Returns the retry delay for a refused caller: roughly the time until the work queued before it is done. */
    fun retryAfter(
        route: Route,
        path: EnginePath,
    ): Duration = (path.waiting - route.target / 2).coerceIn(MINIMUM_RETRY_DELAY, MAXIMUM_RETRY_DELAY)

    private fun tolerance(urgency: Int): Double = BASE_TOLERANCE + URGENT_TOLERANCE / (1 + urgency)

    private const val BASE_TOLERANCE = 0.8
    private const val URGENT_TOLERANCE = 1.6 // urgent requests are short, so a late one delays others little
    private const val USABLE_TIME_SHARE = 0.8 // the rest is for the stream after its first event
    private val MINIMUM_RETRY_DELAY: Duration = 250.milliseconds
    private val MAXIMUM_RETRY_DELAY: Duration = 2.seconds // callers wait at most a third of their remaining time
}
