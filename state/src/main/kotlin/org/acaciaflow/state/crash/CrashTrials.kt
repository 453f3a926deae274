package org.acaciaflow.state.crash

import kotlin.time.Instant

/** The requests that tried a subject in quarantine: their number, and the id and the time of the last one. */
data class CrashTrials(
    val count: Int,
    val requestId: String,
    val startedAt: Instant,
)
