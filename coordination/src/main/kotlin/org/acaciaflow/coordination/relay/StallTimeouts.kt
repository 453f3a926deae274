package org.acaciaflow.coordination.relay

import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timeouts after which a run without progress is hedged by another backend server; null means none.
 *
 * [firstData] limits the time to the first event of an event stream, or to the end of an answer that is buffered.
 * [betweenData] limits the gaps between events, whatever other bytes arrive meanwhile. A run is also hedged when its server has streams in progress
 * and has sent data on none of them for [serverSilence], which allows for the prefill of the prompts queued there.
 */
data class StallTimeouts(
    val firstData: Duration?,
    val betweenData: Duration?,
    val serverSilence: Duration?,
) {
    companion object {
        val UNBOUNDED = StallTimeouts(firstData = null, betweenData = null, serverSilence = null)

        /** Timeouts for a repeatable plain call. */
        fun forPlainCall(route: Route): StallTimeouts =
            UNBOUNDED.copy(firstData = maxOf(route.target * TARGET_FACTOR, MINIMUM_PLAIN_TIMEOUT))

        /** Timeouts for a stream that can be resumed elsewhere, from a service whose speed is not predicted. */
        fun forPlainStream(
            route: Route,
            timeLeft: Duration,
        ): StallTimeouts = forStream(route, predicted = Duration.ZERO, timeLeft).copy(serverSilence = null)

        /** Timeouts for a stream that can be resumed elsewhere; its first event is predicted to take [predicted]. */
        fun forStream(
            route: Route,
            predicted: Duration,
            timeLeft: Duration,
        ): StallTimeouts =
            StallTimeouts(
                firstData = minOf(maxOf(predicted, route.target) * PREDICTION_FACTOR + SILENCE_TIMEOUT, timeLeft / 2),
                betweenData = maxOf((route.targetEventGap ?: DEFAULT_EVENT_GAP) * EVENT_GAP_FACTOR, SILENCE_TIMEOUT),
                serverSilence = predicted * PREDICTION_FACTOR + SILENCE_TIMEOUT,
            )

        /** Timeout for a prefill that is predicted to take [predicted]; a prefill never executes the request. */
        fun forPrefill(predicted: Duration): Duration = predicted * PREDICTION_FACTOR + SILENCE_TIMEOUT

        private const val TARGET_FACTOR = 2
        private const val PREDICTION_FACTOR = 3
        private const val EVENT_GAP_FACTOR = 4
        private val MINIMUM_PLAIN_TIMEOUT: Duration = 300.milliseconds
        private val SILENCE_TIMEOUT: Duration = 800.milliseconds // callers abandon a stalled stream after 2 s
        private val DEFAULT_EVENT_GAP: Duration = 200.milliseconds
    }
}
