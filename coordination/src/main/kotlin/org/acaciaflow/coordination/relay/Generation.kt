package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.route.EngineProperties
import kotlin.time.Duration
import kotlin.time.Instant

/** A generation that is served by engines with [properties]; its attempts hedge [former], if any. */
internal data class Generation(
    val request: RelayedRequest,
    val prompt: Prompt,
    val properties: EngineProperties,
    val tracker: RelayProgressTracker,
    val former: HedgedAttempt?,
) {
    /** True if the next attempt is the first of all. */
    val isNextFirst: Boolean
        get() = isFirst(former, tracker.progress)

    /**
     * Returns the stall timeouts of a stream whose first event is predicted to take [predicted] from [now] on; none unless
     * it may be resumed on another engine.
     */
    fun stallTimeouts(
        predicted: Duration,
        now: Instant,
    ): StallTimeouts {
        val anotherAllowed = tracker.progress.reached.size + 1 < request.route.maximumAttempts
        if (!request.route.kind.repeatable || !anotherAllowed) return StallTimeouts.UNBOUNDED
        return StallTimeouts.forStream(request.route, predicted, request.deadline - now)
    }

    /** Runs [block], which is to use the KV cache of [source]; releases it if [block] fails or is cancelled before that. */
    suspend fun <Result> holding(
        source: CacheSource,
        prefillRun: PrefillRun,
        block: suspend () -> Result,
    ): Result =
        try {
            block()
        } catch (failure: Exception) {
            // The stream of an only attempt has begun once its engine has fetched the KV cache.
            if (former != null || !tracker.progress.begun) prefillRun.release(source)
            throw failure
        }

    /** Records that [prefillEngine] has not prefilled the prompt; it refused for [reason], null if it failed otherwise. */
    fun recordFailedPrefill(
        prefillEngine: BackendEntry,
        reason: AttemptRefusal?,
    ) {
        val counted = reason == null || !isNotSent(reason)
        val rests = reason == AttemptRefusal.RESTING
        tracker.update { progress ->
            progress.copy(
                excluded = if (rests) progress.excluded else progress.excluded.add(prefillEngine.life),
                prefillCalls = progress.prefillCalls + 1,
                countedAttempts = if (counted) progress.countedAttempts + 1 else progress.countedAttempts,
            )
        }
    }
}

/** Returns true if [reason] may mean that KV cache could not be fetched. */
internal fun isCacheRefusal(reason: AttemptRefusal): Boolean =
    reason == AttemptRefusal.CACHE_UNAVAILABLE || reason == AttemptRefusal.AT_CAPACITY

/** Returns true if a decode that ended with [outcome], after which the caller has [progress], may not have fetched its KV cache. */
internal fun mayLeaveCache(
    outcome: RunOutcome,
    progress: RelayProgress,
): Boolean =
    when (outcome) {
        is RunOutcome.NotExecuted -> !isNotSent(outcome.reason) // otherwise another engine fetches it
        is RunOutcome.Broken -> !progress.begun
        is RunOutcome.Superseded -> true
        is RunOutcome.Delivered, RunOutcome.CallerGone, is RunOutcome.Failed -> false
    }

/** What follows an attempt at a generation. */
internal sealed interface EngineStep {
    data class Finished(
        val conclusion: Conclusion,
    ) : EngineStep

    data class Retry(
        val reason: RetryReason,
    ) : EngineStep

    /** Nothing was sent; KV cache that was to be fetched is still held for the request. */
    data object NotSent : EngineStep
}
