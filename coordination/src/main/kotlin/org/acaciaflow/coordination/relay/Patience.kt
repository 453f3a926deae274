package org.acaciaflow.coordination.relay

import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long a run may be silent before it is ended to be tried elsewhere; null where it has to be waited for.
 *
 * [first] bounds the time to the first byte of an answer's content, [between] the pauses after it. A server that
 * produces other streams and has said nothing for [serverSilence] is not waited for either.
 */
data class Patience(
    val first: Duration?,
    val between: Duration?,
    val serverSilence: Duration?,
) {
    companion object {
        val UNBOUNDED = Patience(first = null, between = null, serverSilence = null)

        /** For a plain call that may be repeated. */
        fun forPlainCall(route: Route): Patience =
            UNBOUNDED.copy(first = maxOf(route.target * SLOW_TARGETS, SHORTEST_PLAIN))

        /** For a stream that can go on elsewhere, whose first event is predicted to take [predicted]. */
        fun forStream(
            route: Route,
            predicted: Duration,
            timeLeft: Duration,
        ): Patience =
            Patience(
                first = minOf(maxOf(predicted, route.target) * SLOW_PREDICTIONS + SILENCE, timeLeft / 2),
                between = maxOf((route.targetEventGap ?: DEFAULT_PAUSE) * LONG_PAUSES, SILENCE),
                serverSilence = SILENCE,
            )

        /** For reading a prompt, which never runs it; it is predicted to take [predicted]. */
        fun forPrefill(predicted: Duration): Duration = predicted * SLOW_PREDICTIONS + SILENCE

        private const val SLOW_TARGETS = 2
        private const val SLOW_PREDICTIONS = 3
        private const val LONG_PAUSES = 4
        private val SHORTEST_PLAIN: Duration = 300.milliseconds
        private val SILENCE: Duration = 800.milliseconds // callers give a stream up after two seconds
        private val DEFAULT_PAUSE: Duration = 200.milliseconds
    }
}
