package org.acaciaflow.state.route

import kotlin.time.Duration

/** What callers may send and how long they may take or stay idle. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
