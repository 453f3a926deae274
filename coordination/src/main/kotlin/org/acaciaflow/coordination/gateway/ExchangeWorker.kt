package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.dispatch.Assignment
import org.acaciaflow.coordination.dispatch.Dispatcher
import org.acaciaflow.coordination.port.ExecutionRecords
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RecordSwap
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.queue.WaitingQueue
import org.acaciaflow.coordination.retry.RetryBudgetPolicy
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.record.ExecutionRecord
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.refusal.ThisCallNotRun
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.waiting.WaitingRequest
import kotlin.time.Clock
import kotlin.time.Instant

/** Serves waiting requests; each worker that calls [serveNext] handles one request at a time. */
class ExchangeWorker internal constructor(
    private val tables: GatewayTables,
    private val dispatcher: Dispatcher,
    private val wakeUp: WakeUp,
    private val repeatable: RepeatableAttempt,
    private val atMostOnce: AtMostOnceAttempt,
    private val records: ExecutionRecords,
    private val observations: Observations,
    private val clock: Clock,
) {
    /** Waits for a wake-up, then serves one request if any can be dispatched. */
    suspend fun serveNext() {
        wakeUp.await()
        val assignment = dispatcher.next(clock.now()) ?: return
        wakeUp.signal()
        try {
            serve(assignment)
        } finally {
            dispatcher.release(assignment)
            wakeUp.signal()
        }
    }

    /** Refuses the requests whose deadline has passed as of [now]. */
    suspend fun refuseExpired(now: Instant) {
        val expired = WaitingQueue.expired(tables.waiting.snapshot(), now)
        expired.forEach { refuseExpired(it, now) }
    }

    private suspend fun refuseExpired(
        request: WaitingRequest,
        now: Instant,
    ) {
        val pending = removePending(request.ticket) ?: return
        tables.waiting.update { WaitingQueue.remove(it, request) }
        refuseWaiting(pending, NotRun.DEADLINE_PASSED, now)
    }

    private suspend fun serve(assignment: Assignment) {
        val pending = removePending(assignment.request.ticket) ?: return
        if (pending.exchange.disconnected) return refuseWaiting(pending, NotRun.CALLER_GONE, clock.now())
        val identity = assignment.request.profile.atMostOnce
        try {
            val conclusion =
                when (identity) {
                    null -> repeatable.run(pending, assignment, clock.now())
                    else -> atMostOnce.run(identity, pending, assignment)
                }
            conclude(pending, conclusion)
        } catch (failure: Exception) {
            abort(pending, MayHaveRun.GATEWAY_FAULT)
            throw failure
        }
    }

    private suspend fun conclude(
        pending: PendingExchange,
        conclusion: AttemptConclusion,
    ) {
        when (conclusion) {
            AttemptConclusion.Delivered -> observations.delivered(pending.request.profile.rank)

            AttemptConclusion.CallerGone -> observations.refused(MayHaveRun.CALLER_GONE)

            is AttemptConclusion.Refused -> refuse(pending, conclusion.refusal)

            is AttemptConclusion.Aborted -> abort(pending, conclusion.refusal)

            is AttemptConclusion.Retry -> retry(conclusion)
        }
    }

    private suspend fun retry(retry: AttemptConclusion.Retry) {
        if (retry.charged && !tables.retryBudget.transition(RetryBudgetPolicy::spent)) {
            return refuseOrAbort(retry.pending, MayHaveRun.RETRY_BUDGET_SPENT)
        }
        observations.retried(retry.reason)
        tables.exchanges.update { it.put(retry.pending.request.ticket, retry.pending) }
        tables.waiting.update { WaitingQueue.requeue(it, retry.pending.request) }
    }

    private suspend fun refuseOrAbort(
        pending: PendingExchange,
        refusal: MayHaveRun,
    ) {
        when {
            pending.progress.begun -> abort(pending, refusal)
            else -> refuse(pending, refusal)
        }
    }

    private fun abort(
        pending: PendingExchange,
        refusal: Refusal,
    ) {
        observations.refused(refusal)
        pending.exchange.abort(refusal)
    }

    private suspend fun refuseWaiting(
        pending: PendingExchange,
        refusal: NotRun,
        now: Instant,
    ) {
        when {
            pending.failedAttempts > 0 -> refuseOrAbort(pending, MayHaveRun.DEADLINE_PASSED)
            else -> refuse(pending, closeRecord(pending, refusal, now))
        }
    }

    /**
     * Marks the open execution record of a non-idempotent request as not executed, and returns the refusal to send.
     *
     * If the record cannot be updated, the refusal states only that this call was not run.
     */
    private suspend fun closeRecord(
        pending: PendingExchange,
        refusal: NotRun,
        now: Instant,
    ): Refusal {
        val identity = pending.request.profile.atMostOnce ?: return refusal
        if (!pending.recordOpen) return refusal
        val record = ExecutionRecord.NotExecuted(refusal, now)
        return when (val written = records.swap(identity, pending.recordRevision, record)) {
            is StoreResult.Failure -> {
                ThisCallNotRun.RECORD_UNWRITABLE
            }

            is StoreResult.Success -> {
                when (written.value) {
                    RecordSwap.Conflict -> ThisCallNotRun.EARLIER_CALL_RUNNING
                    is RecordSwap.Written -> refusal
                }
            }
        }
    }

    private suspend fun refuse(
        pending: PendingExchange,
        refusal: Refusal,
    ) {
        observations.refused(refusal)
        pending.exchange.refuse(refusal)
    }

    private fun removePending(ticket: Ticket): PendingExchange? =
        tables.exchanges.transition { Transition(it.remove(ticket), it[ticket]) }
}
