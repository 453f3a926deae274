package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Instant

/** What to do after an attempt at a backend server. */
internal sealed interface NextStep {
    data class Finish(
        val conclusion: Conclusion,
    ) : NextStep

    /** [failed] is the error answer for which the request is retried, if any; it is forwarded if nothing better comes. */
    data class Retry(
        val reason: RetryReason,
        val failed: RunOutcome.Failed? = null,
    ) : NextStep

    /** The error answer of the backend server is forwarded to the caller. */
    data class ForwardFailure(
        val failed: RunOutcome.Failed,
    ) : NextStep
}

/**
 * Decides what follows [outcome], which led to [progress], from what the route of [request] promises.
 *
 * The same rules hold for services with and without model engines. [mayRetryFailure] is true if an error answer may be
 * discarded for the answer of another server.
 */
internal fun nextStepAfter(
    outcome: RunOutcome,
    request: RelayedRequest,
    progress: RelayProgress,
    mayRetryFailure: Boolean,
): NextStep =
    when (outcome) {
        is RunOutcome.Delivered -> NextStep.Finish(Conclusion.Delivered(outcome.status))
        RunOutcome.CallerGone -> NextStep.Finish(Conclusion.CallerGone)
        is RunOutcome.Superseded -> NextStep.Finish(outcome.conclusion)
        is RunOutcome.NotExecuted -> NextStep.Retry(RetryReason.ATTEMPT_REFUSED)
        is RunOutcome.Broken -> stepAfterBroken(outcome, request.route.kind, progress)
        is RunOutcome.Failed -> stepAfterFailed(outcome, progress, mayRetryFailure)
    }

private fun stepAfterBroken(
    broken: RunOutcome.Broken,
    kind: RequestKind,
    progress: RelayProgress,
): NextStep =
    when {
        !kind.repeatable -> NextStep.Finish(uncertain(progress, broken.reason))
        // Another server of its version would need the same record, and the record may be stored for this version yet.
        broken.reason == MayHaveRun.STREAM_UNRECORDED -> NextStep.Finish(uncertain(progress, broken.reason))
        !progress.begun -> NextStep.Retry(RetryReason.ANSWER_INCOMPLETE)
        kind is RequestKind.EventStream && progress.resumable -> NextStep.Retry(RetryReason.STREAM_RESUMED)
        else -> NextStep.Finish(Conclusion.Aborted(broken.reason))
    }

private fun stepAfterFailed(
    failed: RunOutcome.Failed,
    progress: RelayProgress,
    mayRetry: Boolean,
): NextStep =
    when {
        progress.begun -> NextStep.Finish(Conclusion.Aborted(MayHaveRun.ANSWER_INCOMPLETE))
        mayRetry -> NextStep.Retry(RetryReason.BACKEND_FAILED, failed)
        else -> NextStep.ForwardFailure(failed)
    }

/** Creates the order to run [request] at [backend] as of [now], from the point that the caller's stream has reached. */
internal fun runOrderFor(
    request: RelayedRequest,
    backend: BackendEntry,
    source: CacheSource?,
    progress: RelayProgress,
    now: Instant,
): RunOrder =
    RunOrder(
        backend = backend,
        call = request.facts.forwarded,
        requestId = request.facts.requestId,
        timeLeft = request.deadline - now,
        deadline = request.deadline,
        urgency = request.urgency,
        resumeAfter = progress.lastEvent ?: request.facts.resumeAfter,
        source = source,
        expectsEvents = request.route.kind is RequestKind.EventStream,
        repeatable = request.route.kind.repeatable,
        route = request.route.name,
        attempt = progress.countedAttempts + 1,
    )
