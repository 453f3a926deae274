package org.acaciaflow.daemon.limit

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** A time in which [machine] was stopped or starting; the rule does not count what it sends then. */
internal data class ExcusedMachine(
    val machine: String,
    val fromMilliseconds: Long,
    val untilMilliseconds: Long,
)

/** The requests that a server got in the 4 s from [fromMilliseconds] on, beside what its limit allows. */
internal data class LimitWindow(
    val fromMilliseconds: Long,
    val requests: Int,
    val allowed: Double,
) {
    val isExceeded: Boolean get() = requests > allowed
}

/**
 * Applies the platform's rule on `Server-Limit` to what one server got and said.
 *
 * From 3 s after the server first named its limit, it gets in 4 s no more than one and a half times what that allows, and
 * 5 requests. A request counts if its machine had passed on an answer with a limit half a second before or earlier.
 * While a limit changes, and for 3 s afterwards, the larger one holds.
 */
internal class LimitJudge(
    private val entries: LimitEntries,
    private val excused: ImmutableList<ExcusedMachine> = persistentListOf(),
) {
    private val counted: ImmutableList<Long> =
        entries.arrivals
            .filter { isCounted(it) }
            .map { it.atMilliseconds }
            .toImmutableList()

    /** All windows that begin with a counted request, from 3 s after the server first named a limit, while one holds. */
    val windows: ImmutableList<LimitWindow> =
        counted.mapNotNull { window(it, inForceFrom = it - STABLE_MILLISECONDS) }.toImmutableList()

    /** As [windows], with those that end 3 s or more after the server first named a limit. */
    val windowsWithEarlier: ImmutableList<LimitWindow> =
        counted
            .mapNotNull { window(it, inForceFrom = it + WINDOW_MILLISECONDS - STABLE_MILLISECONDS) }
            .toImmutableList()

    /** The window that exceeds its bound most, or comes nearest to it. */
    val worst: LimitWindow? get() = windows.maxByOrNull { it.requests - it.allowed }

    private fun window(
        from: Long,
        inForceFrom: Long,
    ): LimitWindow? {
        val end = from + WINDOW_MILLISECONDS
        val limit = largestLimit(inForceFrom, end) ?: return null
        val requests = counted.count { it in from..<end }
        return LimitWindow(from, requests, SHARE * limit * WINDOW_SECONDS + SPARE_REQUESTS)
    }

    /** The largest limit that holds at some moment from [from] to [end]; null if at one of them there is none. */
    private fun largestLimit(
        from: Long,
        end: Long,
    ): Double? {
        val named = listOfNotNull(entries.answers.lastOrNull { it.atMilliseconds <= from })
        if (named.isEmpty()) return null
        val limits = named + entries.answers.filter { it.atMilliseconds in from..end }
        return limits.maxOf { it.limit ?: return null }
    }

    private fun isCounted(arrival: LimitArrival): Boolean =
        excused.none {
            it.machine == arrival.machine &&
                arrival.atMilliseconds in it.fromMilliseconds..it.untilMilliseconds
        } &&
            isTold(arrival)

    private fun isTold(arrival: LimitArrival): Boolean {
        val latestEnd = arrival.atMilliseconds - TOLD_MILLISECONDS
        val earliest = excused.filter { it.machine == arrival.machine && it.untilMilliseconds < arrival.atMilliseconds }
        val since = earliest.maxOfOrNull { it.fromMilliseconds } ?: 0
        return entries.answers.any {
            it.machine == arrival.machine && it.limit != null && it.atMilliseconds in since..latestEnd
        }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 4_000L
        const val WINDOW_SECONDS = 4
        const val STABLE_MILLISECONDS = 3_000L
        const val TOLD_MILLISECONDS = 500L
        const val SHARE = 1.5
        const val SPARE_REQUESTS = 5
    }
}
