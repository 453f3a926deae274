package org.acaciaflow.coordination.engine

import org.acaciaflow.state.load.FleetLoad
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Draws how much work other gateways may have sent to one backend server since they last told their loads.
 *
 * It grows with the age of what is known, so that an old figure weighs less than a new one.
 */
object UnseenWork {
    /** Returns a random duration up to the work that a busy server may have received by [now]. */
    fun drawDuration(
        load: FleetLoad,
        now: Instant,
        random: Random,
    ): Duration = minOf(load.remoteAge(now), MAXIMUM_AGE) * (BUSY_SHARE * random.nextDouble())

    /** Returns a random number of requests up to those that a busy server may have received by [now]. */
    fun drawRequests(
        load: FleetLoad,
        now: Instant,
        random: Random,
    ): Double {
        val age = minOf(load.remoteAge(now), MAXIMUM_AGE).toDouble(DurationUnit.MILLISECONDS)
        return age * REQUESTS_PER_MILLISECOND * random.nextDouble()
    }

    private const val BUSY_SHARE = 0.6 // of a server's time
    private const val REQUESTS_PER_MILLISECOND = 0.01
    private val MAXIMUM_AGE: Duration = 500.milliseconds // by then, jobs that were waiting have been served
}
