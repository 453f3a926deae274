package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.coordination.retry.RetryWindows
import kotlin.time.Instant

/** Keeps sends beyond the first within the bounds that all gateways share. */
internal class SendPermits(
    private val tables: RelayTables,
    private val candidates: Candidates,
    private val bounds: RetryBounds,
    private val observations: Observations,
) {
    /** Counts a new request as of [now]. */
    fun requested(
        request: RelayedRequest,
        now: Instant,
    ) {
        tables.retryWindows.update { RetryWindows.countRequest(it, request.pool, now) }
    }

    /** True when one more send of [request] is within the bounds; the first one always is. */
    fun maySend(
        request: RelayedRequest,
        progress: RelayProgress,
        reason: RetryReason,
        now: Instant,
    ): Boolean {
        if (progress.countedSends == 0) return true
        val permitted =
            tables.retryWindows.transition {
                RetryWindows.tryCountRetry(it, request.pool, bounds, candidates.gateways(), now)
            }
        if (permitted) observations.retried(reason) else observations.retryDenied(reason)
        return permitted
    }
}
