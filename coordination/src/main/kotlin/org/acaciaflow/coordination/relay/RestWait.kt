package org.acaciaflow.coordination.relay

import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** What a request does for which no backend server is available. */
internal sealed interface NoCandidateStep {
    /** It chooses again at [until]. */
    data class Wait(
        val until: Instant,
    ) : NoCandidateStep

    data class Conclude(
        val conclusion: Conclusion,
    ) : NoCandidateStep
}

/** Lets requests wait for servers that rest or are limited, as long as that leaves them enough time. */
internal class RestWait(
    private val candidates: Candidates,
    private val limitWait: LimitWait,
    private val random: Random,
) {
    /** Waits if [request] may still be served in time by a server that takes none now; returns the conclusion if not. */
    suspend fun waitOrConclude(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): Conclusion? =
        when (val shortage = candidates.shortage(request, progress, now)) {
            Shortage.NoneLeft -> noAttemptLeft(progress)
            is Shortage.VersionGone -> versionGone(progress, shortage.isCertain)
            is Shortage.AllResting -> waitForRest(request, progress, shortage.until, now)
            is Shortage.HeldBack -> limitWait.waitOrConclude(request, progress, shortage, now)
        }

    /** Waits if a limit holds [request] back that is about to let it go; returns false at once if not. */
    suspend fun waitsForToken(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): Boolean =
        when (val shortage = candidates.shortage(request, progress, now)) {
            Shortage.NoneLeft, is Shortage.VersionGone, is Shortage.AllResting -> false
            is Shortage.HeldBack -> limitWait.waits(request, progress, shortage, now)
        }

    private suspend fun waitForRest(
        request: RelayedRequest,
        progress: RelayProgress,
        earliest: Instant,
        now: Instant,
    ): Conclusion? =
        when (val step = decide(request, progress, earliest, now, random)) {
            is NoCandidateStep.Conclude -> {
                step.conclusion
            }

            is NoCandidateStep.Wait -> {
                delay(step.until - now)
                null
            }
        }

    companion object {
        /**
         * Decides at [now] what [request] does when the first of its servers returns at [earliest].
         *
         * Requests return spread over a time, the urgent ones first.
         */
        fun decide(
            request: RelayedRequest,
            progress: RelayProgress,
            earliest: Instant,
            now: Instant,
            random: Random,
        ): NoCandidateStep {
            val until = earliest + RETURN_SPREAD * (request.route.urgency + random.nextDouble())
            if (until + request.route.target <= request.deadline) return NoCandidateStep.Wait(until)
            return NoCandidateStep.Conclude(allResting(progress, left = earliest - now))
        }

        private val RETURN_SPREAD: Duration = 50.milliseconds
    }
}
