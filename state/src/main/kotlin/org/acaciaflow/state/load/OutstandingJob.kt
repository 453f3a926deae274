package org.acaciaflow.state.load

import kotlin.time.Duration
import kotlin.time.Instant

/** Work that this gateway has sent and not seen finished; [work] is the predicted time to its first result. */
data class OutstandingJob(
    val work: Duration,
    val sentAt: Instant,
    val producing: Boolean,
)
