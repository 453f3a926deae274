package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.gateway.sendWhole
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The end of a request that no further backend server can be asked for. */
internal fun unserved(progress: RelayProgress): Conclusion {
    val ran = progress.mayHaveRun
    return when {
        ran != null -> uncertain(progress, ran)
        progress.reached.isEmpty() -> Conclusion.NotExecuted(NotRun.NO_BACKEND, COME_BACK)
        else -> Conclusion.NotExecuted(NotRun.BACKENDS_REFUSED, COME_BACK)
    }
}

/** The end of a request that may have run. */
internal fun uncertain(
    progress: RelayProgress,
    reason: MayHaveRun,
): Conclusion = if (progress.begun) Conclusion.Cut(reason) else Conclusion.Uncertain(reason)

/** The end of a request whose time is up. */
internal fun timedOut(progress: RelayProgress): Conclusion =
    when {
        progress.begun -> Conclusion.Cut(MayHaveRun.DEADLINE_PASSED)
        progress.mayHaveRun != null || progress.sending -> Conclusion.Uncertain(MayHaveRun.DEADLINE_PASSED)
        else -> Conclusion.NotExecuted(NotRun.DEADLINE_PASSED, COME_BACK)
    }

/** Tells the caller the failure that a backend server answered with. */
internal suspend fun passOn(
    request: RelayedRequest,
    failed: RunOutcome.Failed,
): Conclusion =
    when (request.exchange.sendWhole(failed.answer)) {
        CallerWrite.WRITTEN -> Conclusion.Delivered(failed.answer.status)
        CallerWrite.CALLER_GONE -> Conclusion.CallerGone
    }

private val COME_BACK: Duration = 250.milliseconds // a refused caller finds a changed fleet by then
