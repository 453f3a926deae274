package org.acaciaflow.coordination.clock

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * A clock that starts at the time of day and then advances with a monotonic time source.
 *
 * Steps of the system clock don't change its time, so deadlines, leases and ages of reports stay correct. It does not
 * follow corrections of the system clock either, and must not be compared with the clock of another host.
 */
private class SteadyClock(
    private val startedAt: Instant,
    timeSource: TimeSource.WithComparableMarks,
) : Clock {
    private val start = timeSource.markNow()

    override fun now(): Instant = startedAt + start.elapsedNow()
}

/** Creates a clock that reads [timeOfDay] once and measures the time from then on with [timeSource]. */
fun createSteadyClock(
    timeOfDay: Clock = Clock.System,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
): Clock = SteadyClock(timeOfDay.now(), timeSource)
