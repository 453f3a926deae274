package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.engine.EnginePath
import org.acaciaflow.coordination.engine.EnginePlanner
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.route.EngineProperties
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Serves generations: plans prefill and decode, including KV cache transfers, and resumes broken streams. */
internal class EngineRelay(
    private val tables: RelayTables,
    private val candidates: Candidates,
    private val admission: GenerationAdmission,
    private val quarantine: QuarantineCheck,
    private val restWait: RestWait,
    private val retryLimiter: RetryLimiter,
    private val prefillRun: PrefillRun,
    private val backendRun: BackendRun,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    /** Serves [request] until its answer is complete or no further attempt is allowed. */
    suspend fun relay(
        request: RelayedRequest,
        prompt: Prompt,
        properties: EngineProperties,
        tracker: RelayProgressTracker,
    ): Conclusion {
        val generation = Generation(request, prompt, properties, tracker, former = null)
        return relay(generation, RetryReason.ATTEMPT_REFUSED)
    }

    /** Serves [generation]; its first attempt is a retry for [firstReason] unless it is the first of all. */
    private suspend fun relay(
        generation: Generation,
        firstReason: RetryReason,
    ): Conclusion {
        val (request, prompt, properties, tracker) = generation
        var reason = firstReason
        while (true) {
            val now = clock.now()
            if (now >= request.deadline) return timedOut(tracker.progress)
            quarantine.conclusion(request, tracker.progress, now)?.let { return it }
            val view = candidates.view(candidates.of(request, tracker.progress, now), properties, request)
            val path = EnginePlanner.choose(view, prompt, request.route, now, random)
            if (path == null) {
                restWait.waitOrConclude(request, tracker.progress, now)?.let { return it }
                continue
            }
            if (tracker.progress.untried) {
                val refusal = admission.refusalAtArrival(request, prompt, view, path, now)
                if (refusal != null) return refusal
            }
            if (!retryLimiter.tryAcquire(
                    request,
                    generation.isNextFirst,
                    reason,
                    now,
                )
            ) {
                return noAttemptLeft(tracker.progress)
            }
            val step =
                when (path) {
                    is EnginePath.LocalPrefill -> send(generation, path.engine, null, path)
                    is EnginePath.RemotePrefill -> prefillRemotely(generation, path)
                }
            when (step) {
                is EngineStep.Finished -> return step.conclusion
                is EngineStep.Retry -> reason = step.reason
                EngineStep.NotSent -> reason = RetryReason.ATTEMPT_REFUSED
            }
        }
    }

    private suspend fun prefillRemotely(
        generation: Generation,
        path: EnginePath.RemotePrefill,
    ): EngineStep {
        val (request, prompt, properties, tracker) = generation
        val sentAt = clock.now()
        val isFirst = generation.isNextFirst // a hedge that is cancelled counts its own attempts
        quarantine.conclusionBeforeSend(request, tracker.progress, sentAt)?.let { return EngineStep.Finished(it) }
        observations.decided(
            Decision.Sent(request, path.prefillEngine, path.predicted, setAside = 0, tables.load.snapshot(), sentAt),
        )
        val order = runOrderFor(request, path.prefillEngine, source = null, tracker.progress, sentAt)
        val hedge =
            createHedge(tracker, observations) { stalled, stall ->
                observations.decided(Decision.Stalled(request, path.prefillEngine, stall, clock.now()))
                tracker.update { it.copy(excluded = it.excluded.add(path.prefillEngine.life)) }
                relay(generation.copy(former = stalled), RetryReason.RUN_STALLED)
            }
        val result = prefillRun.run(request, order, path, prompt, properties, Hedging(generation.former, hedge))
        val outcome =
            when (result) {
                is AttemptResult.Own -> result.result
                is AttemptResult.Superseded -> result
            }
        observations.decided(Decision.Ran(request, path.prefillEngine, outcome.toString(), clock.now()))
        return when (result) {
            is AttemptResult.Own -> stepAfterPrefill(generation, path, result.result, isFirst, sentAt)
            is AttemptResult.Superseded -> EngineStep.Finished(result.conclusion)
        }
    }

    private suspend fun stepAfterPrefill(
        generation: Generation,
        path: EnginePath.RemotePrefill,
        outcome: PrefillOutcome,
        isFirst: Boolean,
        sentAt: Instant,
    ): EngineStep {
        val tracker = generation.tracker
        return when (outcome) {
            is PrefillOutcome.Ready -> {
                tracker.update { it.copy(prefillCalls = it.prefillCalls + 1) }
                decode(generation, path, outcome.source, isFirst)
            }

            is PrefillOutcome.Refused -> {
                if (outcome.reason == AttemptRefusal.LIMITED) {
                    retryLimiter.giveBack(generation.request, generation.isNextFirst, sentAt)
                } else {
                    generation.recordFailedPrefill(path.prefillEngine, outcome.reason)
                }
                EngineStep.Retry(RetryReason.ATTEMPT_REFUSED)
            }

            is PrefillOutcome.Broken -> {
                generation.recordFailedPrefill(path.prefillEngine, reason = null)
                EngineStep.Retry(RetryReason.ANSWER_INCOMPLETE)
            }
        }
    }

    /** Decodes from [source]; as long as it could not be sent, another engine is chosen for the same KV cache. */
    private suspend fun decode(
        generation: Generation,
        path: EnginePath.RemotePrefill,
        source: CacheSource,
        isFirst: Boolean,
    ): EngineStep {
        while (true) {
            val step = decodeOnce(generation, path, source, isFirst)
            if (step != EngineStep.NotSent) return step
        }
    }

    private suspend fun decodeOnce(
        generation: Generation,
        path: EnginePath.RemotePrefill,
        source: CacheSource,
        isFirst: Boolean,
    ): EngineStep {
        val (request, prompt, properties, tracker) = generation
        val now = clock.now()
        if (now >= request.deadline) {
            prefillRun.release(source)
            return EngineStep.Finished(timedOut(tracker.progress))
        }
        val view = candidates.view(candidates.of(request, tracker.progress, now), properties, request)
        val chosen = EnginePlanner.chooseDecodeEngine(view, prompt, now, random)
        if (chosen == null) {
            val waited =
                generation.holding(
                    source,
                    prefillRun,
                ) { restWait.waitsForToken(request, tracker.progress, now) }
            if (waited) return EngineStep.NotSent
            prefillRun.release(source)
            return EngineStep.Retry(RetryReason.ATTEMPT_REFUSED)
        }
        if (!retryLimiter.tryAcquire(request, isFirst, RetryReason.ATTEMPT_REFUSED, now)) {
            prefillRun.release(source)
            return EngineStep.Finished(noAttemptLeft(tracker.progress))
        }
        val step = generation.holding(source, prefillRun) { send(generation, chosen, source, path) }
        if (step is EngineStep.Retry && step.reason == RetryReason.CACHE_UNAVAILABLE) {
            if (!retryLimiter.tryAcquire(request, generation.isNextFirst, step.reason, clock.now())) {
                return EngineStep.Finished(noAttemptLeft(tracker.progress))
            }
            return localPrefillAfterFetch(generation, chosen, path)
        }
        return step
    }

    /** Prefills at [engine] itself after it could not fetch the KV cache; plans anew if it may get no new work. */
    private suspend fun localPrefillAfterFetch(
        generation: Generation,
        engine: BackendEntry,
        path: EnginePath,
    ): EngineStep =
        when (val step = send(generation, engine, null, path)) {
            EngineStep.NotSent -> EngineStep.Retry(RetryReason.ATTEMPT_REFUSED)
            is EngineStep.Finished, is EngineStep.Retry -> step
        }

    private suspend fun send(
        generation: Generation,
        engine: BackendEntry,
        source: CacheSource?,
        path: EnginePath,
    ): EngineStep {
        val (request, prompt, properties, tracker) = generation
        val quarantined = quarantine.conclusionBeforeSend(request, tracker.progress, clock.now())
        if (quarantined != null) {
            source?.let(prefillRun::release)
            return EngineStep.Finished(quarantined)
        }
        val work = if (source == null) predictedWork(request, properties, engine, prompt) else CACHE_FETCH_WORK
        val now = clock.now()
        val order = runOrderFor(request, engine, source, tracker.progress, now)
        observations.decided(Decision.Sent(request, engine, path.predicted, setAside = 0, tables.load.snapshot(), now))
        prefillRun.recordCachedParts(engine.life, prompt, properties, now)
        val backlog = tables.load.snapshot().backlogAt(engine.life, now)
        val begunBefore = tracker.progress.begun
        val timeouts = generation.stallTimeouts(work + backlog, clock.now())
        val hedging = Hedging(generation.former, hedgeOf(generation, engine))
        val outcome = backendRun.run(request, order, work, timeouts, tracker, hedging)
        val hasOwnResult = !begunBefore && outcome !is RunOutcome.Superseded
        if (source == null && backlog == Duration.ZERO && hasOwnResult) {
            prefillRun.recordLocalPrefill(request, engine, work, tracker.progress, now)
        }
        observations.decided(Decision.Ran(request, engine, outcome.toString(), clock.now()))
        if (source != null && mayLeaveCache(outcome, tracker.progress)) prefillRun.release(source)
        if (source != null && outcome is RunOutcome.NotExecuted && isCacheRefusal(outcome.reason)) {
            tracker.update { it.copy(reached = it.reached.add(engine.life), countedAttempts = it.countedAttempts + 1) }
            return EngineStep.Retry(RetryReason.CACHE_UNAVAILABLE)
        }
        recordAttempt(tracker, engine, outcome)
        if (isHeldBack(outcome)) retryLimiter.giveBack(request, generation.isNextFirst, now)
        if (outcome is RunOutcome.NotExecuted && isNotSent(outcome.reason)) return EngineStep.NotSent
        return nextStep(request, outcome, tracker, hedging)
    }

    /** Returns how the run of [generation] at [engine] is hedged: by planning it anew without that engine. */
    private fun hedgeOf(
        generation: Generation,
        engine: BackendEntry,
    ): Hedge =
        createHedge(generation.tracker, observations) { stalled, stall ->
            observations.decided(Decision.Stalled(generation.request, engine, stall, clock.now()))
            generation.tracker.update { it.withReached(engine.life) }
            relay(generation.copy(former = stalled), RetryReason.RUN_STALLED)
        }

    private suspend fun nextStep(
        request: RelayedRequest,
        outcome: RunOutcome,
        tracker: RelayProgressTracker,
        hedging: Hedging,
    ): EngineStep {
        val mayRetryFailure = mayRetryFailure(request, outcome, tracker)
        return when (val step = nextStepAfter(outcome, request, tracker.progress, mayRetryFailure)) {
            is NextStep.Finish -> EngineStep.Finished(step.conclusion)
            is NextStep.Retry -> {
                step.failed?.let(tracker::keepFailure)
                EngineStep.Retry(step.reason)
            }
            is NextStep.ForwardFailure -> EngineStep.Finished(forwardFailure(request, step.failed, tracker, hedging))
        }
    }

    private fun mayRetryFailure(
        request: RelayedRequest,
        outcome: RunOutcome,
        tracker: RelayProgressTracker,
    ): Boolean =
        outcome is RunOutcome.Failed &&
            request.route.kind.repeatable &&
            outcome.answer.status >= FIRST_SERVER_ERROR &&
            candidates.of(request, tracker.progress, clock.now()).isNotEmpty()

    private fun predictedWork(
        request: RelayedRequest,
        properties: EngineProperties,
        engine: BackendEntry,
        prompt: Prompt,
    ): Duration = EnginePlanner.prefillTime(candidates.view(listOf(engine), properties, request), engine, prompt)

    private companion object {
        val CACHE_FETCH_WORK: Duration = 5.milliseconds
    }
}
