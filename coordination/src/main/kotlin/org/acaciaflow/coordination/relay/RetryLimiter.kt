package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.coordination.retry.RetryWindows
import kotlin.time.Instant

/** Limits retries to the bounds that all gateways share. */
internal class RetryLimiter(
    private val tables: RelayTables,
    private val candidates: Candidates,
    private val bounds: RetryBounds,
    private val observations: Observations,
) {
    /** Counts a new request at [now]; the number of allowed retries grows with it. */
    fun countRequest(
        request: RelayedRequest,
        now: Instant,
    ) {
        tables.retryWindows.update { RetryWindows.countRequest(it, request.pool, now) }
    }

    /**
     * Returns true when one more attempt of [request] is allowed, and counts it as a retry.
     *
     * While [RelayProgress.countedAttempts] is zero, an attempt is always allowed and not counted.
     */
    fun tryAcquire(
        request: RelayedRequest,
        progress: RelayProgress,
        reason: RetryReason,
        now: Instant,
    ): Boolean {
        if (progress.countedAttempts == 0) return true
        val permitted =
            tables.retryWindows.transition {
                RetryWindows.tryCountRetry(it, request.pool, bounds, candidates.gatewayCount(), now)
            }
        if (permitted) observations.retried(reason) else observations.retryDenied(reason)
        return permitted
    }

    /** Takes back the count of a retry at [countedAt] that was not sent because of a limit. */
    fun giveBack(
        request: RelayedRequest,
        progress: RelayProgress,
        countedAt: Instant,
    ) {
        if (progress.countedAttempts == 0) return
        tables.retryWindows.update { RetryWindows.withoutRetry(it, request.pool, countedAt) }
    }
}
