package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.dispatch.Assignment
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.coordination.suspect.SuspectKeeper
import org.acaciaflow.coordination.suspect.SuspectVerdict
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One attempt at an idempotent request: its answer goes to the caller, its failure leads to a retry. */
internal class RepeatableAttempt(
    private val connections: SidecarConnections,
    private val framing: StreamFraming,
    private val suspects: SuspectKeeper,
) {
    suspend fun run(
        pending: PendingExchange,
        assignment: Assignment,
        now: Instant,
    ): AttemptConclusion {
        val delivery =
            AnswerDelivery(pending.exchange, framing, holdWhole = false, HOLD_LIMIT_BYTES, pending.progress)
        val stream = connections.open(orderFor(pending, assignment, now), pending.exchange.body)
        pending.exchange.onDisconnect { stream.cancel() }
        return follow(stream, delivery, pending, assignment, now)
    }

    private suspend fun follow(
        stream: AttemptStream,
        delivery: AnswerDelivery,
        pending: PendingExchange,
        assignment: Assignment,
        now: Instant,
    ): AttemptConclusion {
        while (true) {
            val written =
                when (val event = stream.next()) {
                    is AttemptEvent.Head -> delivery.head(event.head)
                    is AttemptEvent.Data -> delivery.data(event.bytes)
                    AttemptEvent.End -> return ended(pending, delivery.end())
                    is AttemptEvent.Refused -> return refused(pending, assignment, event.reason)
                    is AttemptEvent.Broken -> return brokenOff(
                        pending,
                        assignment,
                        delivery.progress,
                        event.reason,
                        now,
                    )
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
        suspects.completed(pending.request.profile.digest)
        return when (written) {
            CallerWrite.WRITTEN -> AttemptConclusion.Delivered
            CallerWrite.CALLER_GONE -> AttemptConclusion.CallerGone
        }
    }

    /** Notes a crash before anybody is told of it, so that a resend through another gateway is known there. */
    private suspend fun brokenOff(
        pending: PendingExchange,
        assignment: Assignment,
        progress: DeliveryProgress,
        reason: MayHaveRun,
        now: Instant,
    ): AttemptConclusion {
        if (reason != MayHaveRun.BACKEND_CRASHED) return broken(pending, assignment, progress, reason)
        val verdict = suspects.crashed(pending.request.profile.digest, assignment.attempt, now)
        return when {
            verdict != SuspectVerdict.QUARANTINED -> broken(pending, assignment, progress, reason)
            progress.begun -> AttemptConclusion.Cut(MayHaveRun.CRASH_SUSPECT)
            else -> AttemptConclusion.Refused(MayHaveRun.CRASH_SUSPECT)
        }
    }

    private fun refused(
        pending: PendingExchange,
        assignment: Assignment,
        reason: AttemptRefusal,
    ): AttemptConclusion {
        val excluding = excluding(pending, assignment)
        return when (reason) {
            AttemptRefusal.AT_CAPACITY -> AttemptConclusion.Retry(pending, RetryReason.ATTEMPT_REFUSED, charged = false)

            else -> AttemptConclusion.Retry(excluding, RetryReason.ATTEMPT_REFUSED, charged = false)
        }
    }

    private fun broken(
        pending: PendingExchange,
        assignment: Assignment,
        progress: DeliveryProgress,
        reason: MayHaveRun,
    ): AttemptConclusion {
        if (reason == MayHaveRun.CALLER_GONE) return AttemptConclusion.CallerGone
        val next = excluding(pending, assignment).copy(progress = progress, failedAttempts = pending.failedAttempts + 1)
        return when {
            next.failedAttempts >= MAXIMUM_FAILED_ATTEMPTS && progress.begun -> AttemptConclusion.Cut(reason)
            next.failedAttempts >= MAXIMUM_FAILED_ATTEMPTS -> AttemptConclusion.Refused(reason)
            !bodyCanBeRepeated(pending) && progress.begun -> AttemptConclusion.Cut(reason)
            !bodyCanBeRepeated(pending) -> AttemptConclusion.Refused(reason)
            !progress.begun -> AttemptConclusion.Retry(next, retryReason(reason), charged = true)
            progress.resumable -> AttemptConclusion.Retry(withGrace(next), RetryReason.STREAM_RESUMED, charged = true)
            else -> AttemptConclusion.Cut(reason)
        }
    }

    /** A stream that has begun is completed even when its deadline passes meanwhile. */
    private fun withGrace(pending: PendingExchange): PendingExchange {
        val profile = pending.request.profile
        val later = profile.copy(deadline = profile.deadline + RESUME_GRACE)
        return pending.copy(request = pending.request.copy(profile = later))
    }

    private fun bodyCanBeRepeated(pending: PendingExchange): Boolean = pending.exchange.body.whole

    private fun retryReason(reason: MayHaveRun): RetryReason =
        when (reason) {
            MayHaveRun.BACKEND_CRASHED -> RetryReason.BACKEND_CRASHED
            MayHaveRun.ANSWER_INCOMPLETE -> RetryReason.ANSWER_INCOMPLETE
            else -> RetryReason.LINK_LOST
        }

    private companion object {
        const val HOLD_LIMIT_BYTES = 256 * 1024
        const val MAXIMUM_FAILED_ATTEMPTS = 4
        val RESUME_GRACE: Duration = 30.seconds
    }
}
