package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.dispatch.Assignment
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.coordination.suspect.CrashSuspectRegistry
import org.acaciaflow.coordination.suspect.SuspectVerdict
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Runs one attempt at an idempotent request: forwards the answer to the caller, and retries after a failure. */
internal class RepeatableAttempt(
    private val connections: SidecarConnections,
    private val framing: StreamFraming,
    private val suspects: CrashSuspectRegistry,
) {
    suspend fun run(
        pending: PendingExchange,
        assignment: Assignment,
        now: Instant,
    ): AttemptConclusion {
        val delivery =
            AnswerDelivery(pending.exchange, framing, bufferWhole = false, BUFFER_LIMIT_BYTES, pending.progress)
        val stream = connections.open(orderFor(pending, assignment, now), pending.exchange.body)
        pending.exchange.onDisconnect { stream.cancel() }
        return forward(stream, delivery, pending, assignment, now)
    }

    private suspend fun forward(
        stream: AttemptStream,
        delivery: AnswerDelivery,
        pending: PendingExchange,
        assignment: Assignment,
        now: Instant,
    ): AttemptConclusion {
        while (true) {
            val written =
                when (val event = stream.next()) {
                    is AttemptEvent.Head -> {
                        if (!delivery.accepts(event.head)) {
                            stream.cancel()
                            return retryOrFail(pending, assignment, delivery.progress, MayHaveRun.ANSWER_INCOMPLETE)
                        }
                        delivery.head(event.head)
                    }

                    is AttemptEvent.Data -> {
                        delivery.data(event.bytes)
                    }

                    AttemptEvent.End -> {
                        return ended(pending, delivery.end())
                    }

                    is AttemptEvent.Refused -> {
                        return refused(pending, assignment, event.reason)
                    }

                    is AttemptEvent.Broken -> {
                        return afterBroken(pending, assignment, delivery.progress, event.reason, now)
                    }
                }
            if (written == CallerWrite.CALLER_GONE) {
                stream.cancel()
                return AttemptConclusion.CallerGone
            }
        }
    }

    private suspend fun ended(
        pending: PendingExchange,
        written: CallerWrite,
    ): AttemptConclusion {
        suspects.clear(pending.request.profile.digest)
        return when (written) {
            CallerWrite.WRITTEN -> AttemptConclusion.Delivered
            CallerWrite.CALLER_GONE -> AttemptConclusion.CallerGone
        }
    }

    /**
     * Records an engine crash before the request fails for the caller, so that a gateway to which the caller resends
     * it already has it as a crash suspect.
     */
    private suspend fun afterBroken(
        pending: PendingExchange,
        assignment: Assignment,
        progress: DeliveryProgress,
        reason: MayHaveRun,
        now: Instant,
    ): AttemptConclusion {
        if (reason != MayHaveRun.BACKEND_CRASHED) return retryOrFail(pending, assignment, progress, reason)
        val verdict = suspects.recordCrash(pending.request.profile.digest, assignment.attempt, now)
        return when {
            verdict != SuspectVerdict.QUARANTINED -> retryOrFail(pending, assignment, progress, reason)
            progress.begun -> AttemptConclusion.Aborted(MayHaveRun.CRASH_SUSPECT)
            else -> AttemptConclusion.Refused(MayHaveRun.CRASH_SUSPECT)
        }
    }

    private fun refused(
        pending: PendingExchange,
        assignment: Assignment,
        reason: AttemptRefusal,
    ): AttemptConclusion {
        val next = excluding(pending, assignment)
        return when (reason) {
            AttemptRefusal.AT_CAPACITY -> AttemptConclusion.Retry(pending, RetryReason.ATTEMPT_REFUSED, charged = false)

            else -> AttemptConclusion.Retry(next, RetryReason.ATTEMPT_REFUSED, charged = false)
        }
    }

    private fun retryOrFail(
        pending: PendingExchange,
        assignment: Assignment,
        progress: DeliveryProgress,
        reason: MayHaveRun,
    ): AttemptConclusion {
        if (reason == MayHaveRun.CALLER_GONE) return AttemptConclusion.CallerGone
        val next = excluding(pending, assignment).copy(progress = progress, failedAttempts = pending.failedAttempts + 1)
        return when {
            next.failedAttempts >= MAXIMUM_FAILED_ATTEMPTS && progress.begun -> AttemptConclusion.Aborted(reason)
            next.failedAttempts >= MAXIMUM_FAILED_ATTEMPTS -> AttemptConclusion.Refused(reason)
            !isBodyBuffered(pending) && progress.begun -> AttemptConclusion.Aborted(reason)
            !isBodyBuffered(pending) -> AttemptConclusion.Refused(reason)
            !progress.begun -> AttemptConclusion.Retry(next, retryReason(reason), charged = true)
            progress.resumable -> AttemptConclusion.Retry(extended(next), RetryReason.STREAM_RESUMED, charged = true)
            else -> AttemptConclusion.Aborted(reason)
        }
    }

    /** Extends the deadline of a stream that has begun, so that the stream can be resumed after its deadline. */
    private fun extended(pending: PendingExchange): PendingExchange {
        val profile = pending.request.profile
        val extendedProfile = profile.copy(deadline = profile.deadline + RESUME_DEADLINE_EXTENSION)
        return pending.copy(request = pending.request.copy(profile = extendedProfile))
    }

    private fun isBodyBuffered(pending: PendingExchange): Boolean = pending.exchange.body.whole

    private fun retryReason(reason: MayHaveRun): RetryReason =
        when (reason) {
            MayHaveRun.BACKEND_CRASHED -> RetryReason.BACKEND_CRASHED
            MayHaveRun.ANSWER_INCOMPLETE -> RetryReason.ANSWER_INCOMPLETE
            else -> RetryReason.LINK_LOST
        }

    private companion object {
        const val BUFFER_LIMIT_BYTES = 256 * 1024
        const val MAXIMUM_FAILED_ATTEMPTS = 4
        val RESUME_DEADLINE_EXTENSION: Duration = 30.seconds
    }
}
