package org.acaciaflow.state.route

import kotlin.time.Duration

/**
 * Size and time limits for callers.
 *
 * [headerBytes] and [bodyBytes] bound the size of a call, [headerTimeout] the time to receive its headers and
 * [idleTimeout] the time that a connection may stay idle.
 */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
