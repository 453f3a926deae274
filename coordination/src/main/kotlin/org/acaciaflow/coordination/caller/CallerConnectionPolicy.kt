package org.acaciaflow.coordination.caller

import kotlin.time.Duration
import kotlin.time.Instant

/** How long a caller may take for the head of a call, and how long its connection may stay idle. */
data class CallerTimeouts(
    val head: Duration,
    val idle: Duration,
) {
    companion object {
        val UNBOUNDED = CallerTimeouts(head = Duration.INFINITE, idle = Duration.INFINITE)
    }
}

/**
 * What is known of a caller's connection.
 *
 * [openCalls] were read and are not answered yet. [headBegunAt] is when the first byte of the head arrived that is
 * incomplete; null if there is none. [lastUsedAt] is when bytes arrived last, or a call ended.
 */
data class CallerConnectionState(
    val openCalls: Int,
    val headBegunAt: Instant?,
    val lastUsedAt: Instant,
)

/** What to do with a caller's connection. */
sealed interface CallerConnectionStep {
    /** Nothing is due before [until]; null while a call is open. */
    data class Wait(
        val until: Instant?,
    ) : CallerConnectionStep

    /** The head of a call took too long; the call is refused and the connection closed. */
    data object RefuseHead : CallerConnectionStep

    data object CloseIdle : CallerConnectionStep
}

/** Bounds the time for which callers may keep a connection without a complete call. */
object CallerConnectionPolicy {
    /** Decides at [now] what to do with a connection. */
    fun decide(
        state: CallerConnectionState,
        timeouts: CallerTimeouts,
        now: Instant,
    ): CallerConnectionStep {
        val headBegunAt = state.headBegunAt
        return when {
            state.openCalls > 0 -> CallerConnectionStep.Wait(until = null)
            headBegunAt != null -> stepAt(headBegunAt + timeouts.head, CallerConnectionStep.RefuseHead, now)
            else -> stepAt(state.lastUsedAt + timeouts.idle, CallerConnectionStep.CloseIdle, now)
        }
    }

    private fun stepAt(
        due: Instant,
        step: CallerConnectionStep,
        now: Instant,
    ): CallerConnectionStep = if (now >= due) step else CallerConnectionStep.Wait(due)
}
