package org.acaciaflow.coordination.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides how a process that follows the store reads all its keys again. */
object StoreReadPolicy {
    /**
     * How long to wait before all keys are read again, after [reads] such reads in a row without an answer to a watch.
     *
     * The pause is bounded so that polling alone still brings changes in time, and spread so that many processes that
     * lose their place at once do not read together.
     */
    fun pauseBefore(
        reads: Int,
        random: Random,
    ): Duration {
        if (reads == 0) return Duration.ZERO
        val doublings = (reads - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        val pause = (SHORTEST_PAUSE * (1 shl doublings)).coerceAtMost(LONGEST_PAUSE)
        return pause * (1 - SPREAD / 2 + SPREAD * random.nextDouble())
    }

    private const val MAXIMUM_DOUBLINGS = 10
    private const val SPREAD = 0.4
    private val SHORTEST_PAUSE: Duration = 125.milliseconds
    private val LONGEST_PAUSE: Duration = 1000.milliseconds
}
