package org.acaciaflow.state.load

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A job in flight from this gateway to a backend server.
 *
 * [work] is the predicted processing time until its first result, [tokens] the engine memory that it may occupy.
 * [firstResultAt] is when its first result arrived; null while there is none.
 */
data class OutstandingJob(
    val work: Duration,
    val tokens: Int,
    val sentAt: Instant,
    val firstResultAt: Instant?,
) {
    val producing: Boolean
        get() = firstResultAt != null
}
