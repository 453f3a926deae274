package org.acaciaflow.coordination.supervision

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides how long a loop that failed pauses before it starts again. */
object RestartPolicy {
    /** Returns the number of failures in a row, after one more failure of a loop that had run for [ran]. */
    fun consecutiveFailures(
        before: Int,
        ran: Duration,
    ): Int = if (ran >= STABLE_RUN) 1 else before + 1

    /** Returns the pause after [failures] failures in a row: it doubles up to [MAXIMUM_PAUSE], half of it random. */
    fun pauseAfter(
        failures: Int,
        random: Random,
    ): Duration {
        val doublings = (failures - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val pause = minOf(FIRST_PAUSE * (1 shl doublings), MAXIMUM_PAUSE)
        return pause * (1 + random.nextDouble()) / 2
    }

    val FIRST_PAUSE: Duration = 100.milliseconds
    val MAXIMUM_PAUSE: Duration = 2.seconds
    private val STABLE_RUN: Duration = 10.seconds
    private const val MAXIMUM_DOUBLINGS = 10
}
