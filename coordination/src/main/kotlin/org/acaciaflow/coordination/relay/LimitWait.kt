package org.acaciaflow.coordination.relay

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.port.Observations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Lets a request wait shortly for the next token of a limited server, and refuses it at once otherwise. */
internal class LimitWait(
    private val tables: RelayTables,
    private val budget: LimitBudget,
    private val observations: Observations,
) {
    /** Waits if [request] gets the next token and that comes in time; returns the conclusion if not. */
    suspend fun waitOrConclude(
        request: RelayedRequest,
        progress: RelayProgress,
        shortage: Shortage.HeldBack,
        now: Instant,
    ): Conclusion? {
        if (waits(request, progress, shortage, now)) return null
        return allLimited(progress, budget.returnAfter(request.pool, now))
    }

    /** Waits if [request] gets the next token and that comes in time; returns false at once if not. */
    suspend fun waits(
        request: RelayedRequest,
        progress: RelayProgress,
        shortage: Shortage.HeldBack,
        now: Instant,
    ): Boolean {
        val life = shortage.backend.life
        observations.decided(Decision.HeldBack(request, life, tables.limits.snapshot().byLife[life], now))
        val until = shortage.until ?: return false
        if (until > latestStart(request, progress, now)) return false
        val kept = budget.reserve(life, request.facts.requestId, request.route.urgency, now) ?: return false
        delay((kept - now).coerceAtLeast(SHORTEST_WAIT))
        return true
    }

    companion object {
        /**
         * The latest time for which [request] waits as of [now].
         *
         * One that may have run can't be sent away to return, so it waits as long as it has time.
         */
        fun latestStart(
            request: RelayedRequest,
            progress: RelayProgress,
            now: Instant,
        ): Instant {
            val inTime = request.deadline - request.route.target
            return when {
                progress.begun -> request.deadline
                progress.mayHaveRun != null -> inTime
                progress.prefillCalls > 0 -> minOf(inTime, now + MAXIMUM_WAIT)
                else -> minOf(inTime, request.arrivedAt + MAXIMUM_WAIT)
            }
        }

        private val MAXIMUM_WAIT: Duration = 250.milliseconds
        private val SHORTEST_WAIT: Duration = 1.milliseconds
    }
}
