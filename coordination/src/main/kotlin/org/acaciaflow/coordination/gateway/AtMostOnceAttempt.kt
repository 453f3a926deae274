package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.dispatch.Assignment
import org.acaciaflow.coordination.execution.RecordResolution
import org.acaciaflow.coordination.execution.RecordResolver
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.ExecutionRecords
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RecordSwap
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.ThisCallNotRun
import kotlin.time.Clock

/**
 * Runs one attempt at a non-idempotent request.
 *
 * The execution record is written before the first byte is sent to the sidecar. After an attempt that may have run,
 * there is no further attempt until its sidecar confirms that the attempt never started.
 */
internal class AtMostOnceAttempt(
    private val records: ExecutionRecords,
    private val resolver: RecordResolver,
    private val connections: SidecarConnections,
    private val framing: StreamFraming,
    private val observations: Observations,
    private val clock: Clock,
) {
    suspend fun run(
        identity: RequestIdentity,
        pending: PendingExchange,
        assignment: Assignment,
    ): AttemptConclusion {
        val record = ExecutionRecord.MaybeRunning(assignment.attempt, assignment.server, clock.now())
        return when (val reserved = records.swap(identity, pending.recordRevision, record)) {
            is StoreResult.Failure -> {
                observations.storeFailed(reserved.reason)
                AttemptConclusion.Refused(ThisCallNotRun.RECORD_UNWRITABLE)
            }

            is StoreResult.Success -> {
                when (val swap = reserved.value) {
                    RecordSwap.Conflict -> resolveAgain(identity, pending)
                    is RecordSwap.Written -> dispatch(identity, pending, assignment, swap.revision)
                }
            }
        }
    }

    private suspend fun dispatch(
        identity: RequestIdentity,
        pending: PendingExchange,
        assignment: Assignment,
        revision: Long,
    ): AttemptConclusion {
        val delivery =
            AnswerDelivery(pending.exchange, framing, bufferWhole = true, MAXIMUM_STORED_ANSWER_BYTES, pending.progress)
        val stream = connections.open(orderFor(pending, assignment, clock.now()), pending.exchange.body)
        return when (val last = forward(stream, delivery)) {
            is AttemptEvent.Refused -> {
                val next = excluding(pending, assignment).copy(recordRevision = revision, recordOpen = true)
                retryIfBodyBuffered(next)
            }

            is AttemptEvent.Broken -> {
                afterBroken(
                    identity,
                    pending.copy(recordRevision = revision, recordOpen = true),
                    delivery.progress,
                    last.reason,
                )
            }

            else -> {
                recordAnswer(identity, assignment, revision, delivery)
            }
        }
    }

    private suspend fun forward(
        stream: AttemptStream,
        delivery: AnswerDelivery,
    ): AttemptEvent {
        while (true) {
            when (val event = stream.next()) {
                is AttemptEvent.Head -> delivery.head(event.head)
                is AttemptEvent.Data -> delivery.data(event.bytes)
                else -> return event
            }
        }
    }

    private suspend fun recordAnswer(
        identity: RequestIdentity,
        assignment: Assignment,
        revision: Long,
        delivery: AnswerDelivery,
    ): AttemptConclusion {
        val record = ExecutionRecord.Answered(assignment.attempt, delivery.bufferedAnswer, clock.now())
        val written = records.swap(identity, revision, record)
        if (written is StoreResult.Failure) observations.storeFailed(written.reason)
        delivery.end()
        return AttemptConclusion.Delivered
    }

    private fun retryIfBodyBuffered(next: PendingExchange): AttemptConclusion =
        when {
            next.exchange.body.whole -> AttemptConclusion.Retry(next, RetryReason.ATTEMPT_REFUSED, charged = false)
            else -> AttemptConclusion.Refused(ThisCallNotRun.RECORD_UNWRITABLE)
        }

    private suspend fun afterBroken(
        identity: RequestIdentity,
        pending: PendingExchange,
        progress: DeliveryProgress,
        reason: MayHaveRun,
    ): AttemptConclusion {
        if (progress.begun) return AttemptConclusion.Aborted(reason)
        val resolution = resolver.resolve(identity, pending.request.profile.deadline)
        return conclusionOf(pending, resolution, refusalOverride = reason)
    }

    private suspend fun resolveAgain(
        identity: RequestIdentity,
        pending: PendingExchange,
    ): AttemptConclusion {
        val resolution = resolver.resolve(identity, pending.request.profile.deadline)
        return conclusionOf(pending, resolution, refusalOverride = null)
    }

    private suspend fun conclusionOf(
        pending: PendingExchange,
        resolution: RecordResolution,
        refusalOverride: MayHaveRun?,
    ): AttemptConclusion =
        when (resolution) {
            is RecordResolution.Proceed -> {
                val next = pending.copy(recordRevision = resolution.recordRevision, recordOpen = resolution.recordOpen)
                AttemptConclusion.Retry(next, RetryReason.NEVER_STARTED, charged = false)
            }

            is RecordResolution.Replay -> {
                replay(pending, resolution.answer)
            }

            is RecordResolution.Refused -> {
                AttemptConclusion.Refused(refusalOverride ?: resolution.refusal)
            }
        }

    private suspend fun replay(
        pending: PendingExchange,
        answer: StoredAnswer,
    ): AttemptConclusion {
        pending.exchange.sendWhole(answer)
        return AttemptConclusion.Delivered
    }

    private companion object {
        const val MAXIMUM_STORED_ANSWER_BYTES = 64 * 1024
    }
}
