package org.acaciaflow.state.reliability

import kotlin.time.Instant

/**
 * What this gateway's own requests met at one backend server.
 *
 * [failureShare] is a decaying mean of failures from 0 to 1. Nothing is sent before [avoidedUntil].
 */
data class ReliabilityRecord(
    val failureShare: Double,
    val connectFailures: Int,
    val avoidedUntil: Instant,
) {
    companion object {
        val UNKNOWN = ReliabilityRecord(failureShare = 0.0, connectFailures = 0, avoidedUntil = Instant.DISTANT_PAST)
    }
}
