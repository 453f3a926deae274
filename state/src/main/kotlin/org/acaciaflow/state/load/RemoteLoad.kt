package org.acaciaflow.state.load

import kotlin.time.Duration
import kotlin.time.Instant

/** Work of another gateway at one backend server, as that gateway told it; [heardAt] is the local time of arrival. */
data class RemoteLoad(
    val backlog: Duration,
    val running: Int,
    val tokens: Long,
    val heardAt: Instant,
) {
    /** The part of [backlog] that is predicted to be left as of [now]. */
    fun backlogLeft(now: Instant): Duration = (backlog - (now - heardAt)).coerceAtLeast(Duration.ZERO)
}
