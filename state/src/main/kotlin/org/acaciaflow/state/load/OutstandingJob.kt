package org.acaciaflow.state.load

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Work that this gateway has sent and not seen finished; [work] is the predicted time to its first result,
 * [tokens] the engine memory that it may come to hold.
 */
data class OutstandingJob(
    val work: Duration,
    val tokens: Int,
    val sentAt: Instant,
    val producing: Boolean,
)
