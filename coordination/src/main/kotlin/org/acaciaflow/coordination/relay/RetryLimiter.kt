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
     * An attempt that [isFirst] is always allowed and not counted.
     */
    fun tryAcquire(
        request: RelayedRequest,
        isFirst: Boolean,
        reason: RetryReason,
        now: Instant,
    ): Boolean {
        if (isFirst) return true
        val permitted =
            tables.retryWindows.transition {
                RetryWindows.tryCountRetry(it, request.pool, bounds, candidates.gatewayCount(), now)
            }
        if (permitted) observations.retried(reason) else observations.retryDenied(reason)
        return permitted
    }

    /** Takes back the count at [countedAt] of an attempt that was not sent because of a limit, unless it [wasFirst]. */
    fun giveBack(
        request: RelayedRequest,
        wasFirst: Boolean,
        countedAt: Instant,
    ) {
        if (wasFirst) return
        tables.retryWindows.update { RetryWindows.withoutRetry(it, request.pool, countedAt) }
    }
}
