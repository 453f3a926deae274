package org.acaciaflow.state.connection

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The surplus answers of one backend server.
 *
 * [lastSeen] is when the last one that is known arrived at any gateway, [ownLastSeen] when the last one arrived at this
 * one, null if none did. The server is isolated for [isolationTime] after [lastSeen].
 */
data class SurplusRecord(
    val lastSeen: Instant,
    val ownLastSeen: Instant?,
    val isolationTime: Duration,
) {
    val isolatedUntil: Instant
        get() = lastSeen + isolationTime
}
