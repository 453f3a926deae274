package org.acaciaflow.coordination.retry

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.retry.RetryWindow
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Bounds the sends beyond the first of each request, over all gateways.
 *
 * In each [window] a pool may get [ratio] repeats a request and [slack] besides; every gateway keeps to its own requests
 * and to its part of the slack, so that no agreement is needed.
 */
data class RetryBounds(
    val ratio: Double,
    val slack: Double,
    val window: Duration,
)

/** Counts requests and repeats in sliding windows of whole seconds. */
object RetryWindows {
    /** Counts one request for [pool] as of [now]. */
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

    /** Takes one repeat for [pool]; the outcome is false when the bound is reached among [gateways] gateways. */
    fun tryCountRetry(
        windows: PersistentMap<PoolName, RetryWindow>,
        pool: PoolName,
        bounds: RetryBounds,
        gateways: Int,
        now: Instant,
    ): Transition<PersistentMap<PoolName, RetryWindow>, Boolean> {
        val second = now.epochSeconds
        val window = trimmed(windows[pool] ?: RetryWindow.EMPTY, second, bounds)
        val allowed = bounds.ratio * recentRequests(window, second, bounds) + bounds.slack * USED_SLACK / gateways
        val spent = window.repeats.values.sum()
        if (spent + 1 > allowed) return Transition(windows.put(pool, window), false)
        val counted = window.repeats.put(second, (window.repeats[second] ?: 0) + 1)
        return Transition(windows.put(pool, window.copy(repeats = counted)), true)
    }

    /** Requests in the seconds that lie wholly inside the window. */
    private fun recentRequests(
        window: RetryWindow,
        second: Long,
        bounds: RetryBounds,
    ): Int =
        window.requests
            .filterKeys { it > second - bounds.window.inWholeSeconds + 1 }
            .values
            .sum()

    /** Drops seconds that cannot overlap a window that ends now. */
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
            repeats =
                window.repeats.keys
                    .filter { it < oldest }
                    .fold(window.repeats) { rest, old -> rest.remove(old) },
        )
    }

    private const val USED_SLACK = 0.8 // gateways may join before each knows of the other
}
