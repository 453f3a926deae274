package org.acaciaflow.state.reliability

import kotlin.time.Instant

/**
 * Outcomes of this gateway's own requests at one backend server.
 *
 * [failureShare] is an exponentially weighted mean of failures, from 0 to 1. [connectFailures] counts failures to
 * connect since the last success. Until [backoffUntil] the server is used only when no other is available.
 */
data class ReliabilityRecord(
    val failureShare: Double,
    val connectFailures: Int,
    val backoffUntil: Instant,
) {
    companion object {
        val UNKNOWN = ReliabilityRecord(failureShare = 0.0, connectFailures = 0, backoffUntil = Instant.DISTANT_PAST)
    }
}
