package org.acaciaflow.coordination.retry

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.retry.RetryWindow
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Limits the retries of requests, summed over all gateways.
 *
 * In each [window] a pool may get [ratio] retries per request, plus [slack] retries. Each gateway applies the ratio to
 * its own requests and takes an equal part of the slack, so that the gateways need no coordination.
 */
data class RetryBounds(
    val ratio: Double,
    val slack: Double,
    val window: Duration,
)

/** Counts requests and retries per second and enforces [RetryBounds] over a sliding window. */
object RetryWindows {
    /** Counts one request for [pool] at [now]. */
    fun countRequest(
        windows: PersistentMap<PoolName, RetryWindow>,
        pool: PoolName,
        now: Instant,
    ): PersistentMap<PoolName, RetryWindow> {
        val second = now.epochSeconds
        val window = windows[pool] ?: RetryWindow.EMPTY
        val counted = window.requests.put(second, (window.requests[second] ?: 0) + 1)
        return windows.put(pool, window.copy(requests = counted))
    }

    /** Counts one retry for [pool]; the outcome is false when this gateway's share among [gateways] is used up. */
    fun tryCountRetry(
        windows: PersistentMap<PoolName, RetryWindow>,
        pool: PoolName,
        bounds: RetryBounds,
        gateways: Int,
        now: Instant,
    ): Transition<PersistentMap<PoolName, RetryWindow>, Boolean> {
        val second = now.epochSeconds
        val window = trimmed(windows[pool] ?: RetryWindow.EMPTY, second, bounds)
        val allowed = bounds.ratio * recentRequests(window, second, bounds) + bounds.slack * USED_SLACK_SHARE / gateways
        val countedRetries = window.retries.values.sum()
        if (countedRetries + 1 > allowed) return Transition(windows.put(pool, window), false)
        val counted = window.retries.put(second, (window.retries[second] ?: 0) + 1)
        return Transition(windows.put(pool, window.copy(retries = counted)), true)
    }

    /** Takes back one retry for [pool] that was counted at or shortly before [countedAt]. */
    fun withoutRetry(
        windows: PersistentMap<PoolName, RetryWindow>,
        pool: PoolName,
        countedAt: Instant,
    ): PersistentMap<PoolName, RetryWindow> {
        val window = windows[pool] ?: return windows
        val second =
            window.retries.keys
                .filter { it <= countedAt.epochSeconds }
                .maxOrNull() ?: return windows
        val left = window.retries.getValue(second) - 1
        val retries = if (left > 0) window.retries.put(second, left) else window.retries.remove(second)
        return windows.put(pool, window.copy(retries = retries))
    }

    /** Returns the number of requests in the seconds that lie completely inside the window. */
    private fun recentRequests(
        window: RetryWindow,
        second: Long,
        bounds: RetryBounds,
    ): Int =
        window.requests
            .filterKeys { it > second - bounds.window.inWholeSeconds + 1 }
            .values
            .sum()

    /** Evicts the counts of seconds that are older than the window. */
    private fun trimmed(
        window: RetryWindow,
        second: Long,
        bounds: RetryBounds,
    ): RetryWindow {
        val oldest = second - bounds.window.inWholeSeconds
        return RetryWindow(
            requests =
                window.requests.keys.filter { it < oldest }.fold(
                    window.requests,
                ) { rest, old -> rest.remove(old) },
            retries =
                window.retries.keys
                    .filter { it < oldest }
                    .fold(window.retries) { rest, old -> rest.remove(old) },
        )
    }

    private const val USED_SLACK_SHARE = 0.8 // headroom for gateways that do not know of each other yet
}
