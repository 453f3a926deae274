package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.gateway.sendWhole
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns the conclusion of a request for which no further attempt is possible or allowed. */
internal fun noAttemptLeft(progress: RelayProgress): Conclusion {
    val mayHaveRun = progress.mayHaveRun
    return when {
        mayHaveRun != null -> uncertain(progress, mayHaveRun)
        progress.reached.isEmpty() -> Conclusion.NotExecuted(NotRun.NO_BACKEND, RETRY_AFTER)
        else -> Conclusion.NotExecuted(NotRun.BACKENDS_REFUSED, RETRY_AFTER)
    }
}

/**
 * Returns the conclusion of a stream whose software version no server has any more.
 *
 * If that [isCertain], its caller is not to wait: it can only begin anew.
 */
internal fun versionGone(
    progress: RelayProgress,
    isCertain: Boolean,
): Conclusion =
    when (val mayHaveRun = progress.mayHaveRun) {
        null -> Conclusion.NotExecuted(NotRun.STREAM_VERSION_GONE, RETRY_AFTER.takeUnless { isCertain })
        else -> uncertain(progress, mayHaveRun)
    }

/** Returns the conclusion of a request whose servers all rest, the first of them for another [left]. */
internal fun allResting(
    progress: RelayProgress,
    left: Duration,
): Conclusion =
    when (val mayHaveRun = progress.mayHaveRun) {
        null -> Conclusion.NotExecuted(NotRun.BACKENDS_RESTING, retryAfter = left)
        else -> uncertain(progress, mayHaveRun)
    }

/** Returns the conclusion of a request that limits hold back; its caller may return after [retryAfter]. */
internal fun allLimited(
    progress: RelayProgress,
    retryAfter: Duration,
): Conclusion =
    when (val mayHaveRun = progress.mayHaveRun) {
        null -> Conclusion.NotExecuted(NotRun.BACKENDS_LIMITED, retryAfter)
        else -> uncertain(progress, mayHaveRun)
    }

/** Returns the conclusion of a request whose quarantine for crashes goes on for [left]. */
internal fun quarantined(
    progress: RelayProgress,
    left: Duration,
): Conclusion =
    when (progress.mayHaveRun) {
        null -> Conclusion.NotExecuted(NotRun.CRASH_SUSPECT, retryAfter = left)
        else -> uncertain(progress, MayHaveRun.CRASH_SUSPECT)
    }

/** Returns the conclusion of a request that may have been executed. */
internal fun uncertain(
    progress: RelayProgress,
    reason: MayHaveRun,
): Conclusion = if (progress.begun) Conclusion.Aborted(reason) else Conclusion.Uncertain(reason)

/** Returns the conclusion of a request whose deadline has passed. */
internal fun timedOut(progress: RelayProgress): Conclusion =
    when {
        progress.begun -> Conclusion.Aborted(MayHaveRun.DEADLINE_PASSED)
        progress.mayHaveRun != null || progress.attemptsInFlight > 0 -> Conclusion.Uncertain(MayHaveRun.DEADLINE_PASSED)
        else -> Conclusion.NotExecuted(NotRun.DEADLINE_PASSED, RETRY_AFTER)
    }

/** Returns the conclusion of a request that is in progress when the process ends. */
internal fun stopped(progress: RelayProgress): Conclusion =
    when {
        progress.begun -> Conclusion.Aborted(MayHaveRun.STOPPING)
        progress.mayHaveRun != null || progress.attemptsInFlight > 0 -> Conclusion.Uncertain(MayHaveRun.STOPPING)
        else -> Conclusion.NotExecuted(NotRun.STOPPING, RETRY_AFTER)
    }

/**
 * Forwards the error answer of a backend server to the caller, in place of the attempt that [hedging] hedges.
 *
 * A server's own failure is only kept while that attempt may still have a success.
 */
internal suspend fun forwardFailure(
    request: RelayedRequest,
    failed: RunOutcome.Failed,
    tracker: RelayProgressTracker,
    hedging: Hedging,
): Conclusion {
    if (hedging.isFormerOpen && failed.answer.status >= FIRST_SERVER_ERROR) {
        tracker.keepFailure(failed)
        return uncertain(tracker.progress, MayHaveRun.ANSWER_INCOMPLETE)
    }
    hedging.supersedeFormer()
    return forwardFailure(request, failed, tracker)
}

/** Forwards the error answer of a backend server to the caller. */
internal suspend fun forwardFailure(
    request: RelayedRequest,
    failed: RunOutcome.Failed,
    tracker: RelayProgressTracker,
): Conclusion {
    tracker.update { it.copy(origin = failed.origin) }
    return when (request.exchange.sendWhole(failed.answer)) {
        CallerWrite.WRITTEN -> Conclusion.Delivered(failed.answer.status)
        CallerWrite.CALLER_GONE -> Conclusion.CallerGone
    }
}

/** The first status by which a server says that the failure is its own. */
internal const val FIRST_SERVER_ERROR = 500
private val RETRY_AFTER: Duration = 250.milliseconds // the set of usable backend servers may have changed by then
