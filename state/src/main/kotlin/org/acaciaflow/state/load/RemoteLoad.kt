package org.acaciaflow.state.load

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Load of another gateway at one backend server, as that gateway last reported it.
 *
 * [backlog] is the predicted time until all of that work has produced its first result, [running] the number of
 * requests in flight, [tokens] the engine memory that they may occupy. [receivedAt] is when the report arrived, by the
 * local clock.
 */
data class RemoteLoad(
    val backlog: Duration,
    val running: Int,
    val tokens: Long,
    val receivedAt: Instant,
) {
    /** The part of [backlog] predicted to remain at [now]. */
    fun remainingBacklog(now: Instant): Duration = (backlog - (now - receivedAt)).coerceAtLeast(Duration.ZERO)
}
