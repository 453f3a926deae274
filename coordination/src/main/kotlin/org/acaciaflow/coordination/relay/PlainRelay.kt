package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.plain.PlainChoice
import org.acaciaflow.coordination.plain.PlainSelection
import org.acaciaflow.coordination.plain.PlainView
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.route.RequestKind
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Serves requests for plain services. */
internal class PlainRelay(
    private val tables: RelayTables,
    private val candidates: Candidates,
    private val quarantine: QuarantineCheck,
    private val restWait: RestWait,
    private val retryLimiter: RetryLimiter,
    private val backendRun: BackendRun,
    private val ownDataCentre: DataCentre,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    /** Serves [request] until it is answered or no further attempt is allowed. */
    suspend fun relay(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
    ): Conclusion = relay(request, tracker, former = null, RetryReason.ATTEMPT_REFUSED)

    /** Serves [request] by attempts that hedge [former], if any; the first of them is a retry for [firstReason]. */
    private suspend fun relay(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
        former: HedgedAttempt?,
        firstReason: RetryReason,
    ): Conclusion {
        var reason = firstReason
        while (true) {
            val now = clock.now()
            if (now >= request.deadline) return timedOut(tracker.progress)
            if (request.exchange.disconnected) return Conclusion.CallerGone
            quarantine.conclusion(request, tracker.progress, now)?.let { return it }
            val usable = candidates.of(request, tracker.progress, now)
            val chosen = choose(usable, now)
            if (chosen == null) {
                restWait.waitOrConclude(request, tracker.progress, now)?.let { return it }
                continue
            }
            val isFirst = isFirst(former, tracker.progress)
            if (!retryLimiter.tryAcquire(request, isFirst, reason, now)) return noAttemptLeft(tracker.progress)
            quarantine.conclusionBeforeSend(request, tracker.progress, now)?.let { return it }
            val hedging = Hedging(former, hedgeOf(request, chosen.backend, tracker))
            val outcome = send(request, chosen, tracker, hedging)
            val mayRetryFailure = mayRetryFailure(request, tracker, outcome)
            when (val step = nextStepAfter(outcome, request, tracker.progress, mayRetryFailure)) {
                is NextStep.Finish -> return step.conclusion
                is NextStep.ForwardFailure -> return forwardFailure(request, step.failed, tracker, hedging)
                is NextStep.Retry -> {
                    reason = step.reason
                    step.failed?.let(tracker::keepFailure)
                }
            }
        }
    }

    private fun choose(
        usable: List<BackendEntry>,
        now: Instant,
    ): PlainChoice? {
        val view =
            PlainView(
                load = tables.load.snapshot(),
                reliability = tables.reliability.snapshot(),
                surplus = tables.surplus.snapshot(),
                ownDataCentre = ownDataCentre,
            )
        return PlainSelection.choose(usable, view, now, random)
    }

    private suspend fun send(
        request: RelayedRequest,
        choice: PlainChoice,
        tracker: RelayProgressTracker,
        hedging: Hedging,
    ): RunOutcome {
        val now = clock.now()
        val chosen = choice.backend
        val order = runOrderFor(request, chosen, source = null, tracker.progress, now)
        val sent = Decision.Sent(request, chosen, NO_PREDICTION, choice.setAside, tables.load.snapshot(), now)
        observations.decided(sent)
        val timeouts = stallTimeoutsFor(request, tracker, now)
        val outcome = backendRun.run(request, order, TYPICAL_WORK, timeouts, tracker, hedging)
        recordAttempt(tracker, chosen, outcome)
        if (isHeldBack(outcome)) retryLimiter.giveBack(request, isFirst(hedging.former, tracker.progress), now)
        observations.decided(Decision.Ran(request, chosen, outcome.toString(), clock.now()))
        return outcome
    }

    /** Returns how the run of [request] at [backend] is hedged: by attempts at other servers. */
    private fun hedgeOf(
        request: RelayedRequest,
        backend: BackendEntry,
        tracker: RelayProgressTracker,
    ): Hedge =
        createHedge(tracker, observations) { stalled, stall ->
            observations.decided(Decision.Stalled(request, backend, stall, clock.now()))
            tracker.update { it.withReached(backend.life) }
            relay(request, tracker, stalled, RetryReason.RUN_STALLED)
        }

    /** Returns the stall timeout of a request that may be retried on another server, and none otherwise. */
    private fun stallTimeoutsFor(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
        now: Instant,
    ): StallTimeouts {
        val anotherAllowed = tracker.progress.reached.size + 1 < request.route.maximumAttempts
        if (!request.route.kind.repeatable || !anotherAllowed) return StallTimeouts.UNBOUNDED
        return when (request.route.kind) {
            RequestKind.Idempotent, RequestKind.AtMostOnce -> StallTimeouts.forPlainCall(request.route)
            is RequestKind.EventStream -> StallTimeouts.forPlainStream(request.route, request.deadline - now)
        }
    }

    private fun mayRetryFailure(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
        outcome: RunOutcome,
    ): Boolean {
        if (outcome !is RunOutcome.Failed) return false
        if (!request.route.kind.repeatable || outcome.answer.status < FIRST_SERVER_ERROR) return false
        val now = clock.now()
        if (request.deadline - now < request.route.target) return false
        return candidates.of(request, tracker.progress, now).isNotEmpty()
    }

    private companion object {
        val TYPICAL_WORK: Duration = 40.milliseconds
        val NO_PREDICTION: Duration = Duration.ZERO
    }
}

/**
 * Records an attempt at [backend], which excludes it from further attempts unless it only takes none now.
 *
 * An attempt that was not sent is not counted.
 */
internal fun recordAttempt(
    tracker: RelayProgressTracker,
    backend: BackendEntry,
    outcome: RunOutcome,
) {
    val notSent = outcome is RunOutcome.NotExecuted && isNotSent(outcome.reason)
    tracker.update { progress ->
        progress.copy(
            reached = if (notSent) progress.reached else progress.reached.add(backend.life),
            countedAttempts =
                if (notSent || backend.life in progress.excluded) {
                    progress.countedAttempts
                } else {
                    progress.countedAttempts + 1
                },
            excluded = if (takesNoneNow(outcome)) progress.excluded else progress.excluded.add(backend.life),
        )
    }
}

/** Returns true if the next attempt is the first that counts of a request with [progress]; one that hedges [former] never is. */
internal fun isFirst(
    former: HedgedAttempt?,
    progress: RelayProgress,
): Boolean = former == null && progress.countedAttempts == 0

/** Returns true if nothing was sent because the server rests or is limited, so that it may be sent to later. */
private fun takesNoneNow(outcome: RunOutcome): Boolean =
    outcome is RunOutcome.NotExecuted &&
        (outcome.reason == AttemptRefusal.RESTING || outcome.reason == AttemptRefusal.LIMITED)

/** Returns true if [reason] means that nothing of the request was sent to the server. */
internal fun isNotSent(reason: AttemptRefusal): Boolean =
    reason == AttemptRefusal.CONNECTION_REFUSED || reason in SendPermission.DENIALS

/** Returns true if nothing was sent because of the server's limit. */
internal fun isHeldBack(outcome: RunOutcome): Boolean =
    outcome is RunOutcome.NotExecuted && outcome.reason == AttemptRefusal.LIMITED
