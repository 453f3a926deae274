package org.acaciaflow.coordination.gateway

import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.coordination.classification.CallClassifier
import org.acaciaflow.coordination.classification.Classification
import org.acaciaflow.coordination.execution.RecordResolution
import org.acaciaflow.coordination.execution.RecordResolver
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.queue.EnqueueOutcome
import org.acaciaflow.coordination.queue.QueueLimits
import org.acaciaflow.coordination.queue.WaitingQueue
import org.acaciaflow.coordination.retry.RetryBudgetPolicy
import org.acaciaflow.coordination.suspect.CrashSuspectRegistry
import org.acaciaflow.coordination.suspect.SuspectVerdict
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.work.RequestProfile
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Instant

/** Admits calls: classifies them, checks crash suspects and execution records, and enqueues them. */
class ArrivalService(
    private val tables: GatewayTables,
    private val classifier: CallClassifier,
    private val resolver: RecordResolver,
    private val suspects: CrashSuspectRegistry,
    private val limits: QueueLimits,
    private val wakeUp: WakeUp,
    private val observations: Observations,
    private val clock: Clock,
) : CallAcceptor {
    private val lastTicket = AtomicLong()

    /** Enqueues the call, or answers or refuses it immediately. */
    override suspend fun accept(exchange: CallerExchange) {
        val now = clock.now()
        val configuration = tables.configuration.snapshot()
        when (val classified = classifier.classify(configuration, exchange.call, exchange.body, now)) {
            is Classification.Refused -> refuse(exchange, classified.reason)
            is Classification.Classified -> check(exchange, classified.profile, now)
        }
    }

    private suspend fun check(
        exchange: CallerExchange,
        profile: RequestProfile,
        now: Instant,
    ) {
        observations.accepted(profile.rank)
        if (suspects.verdict(profile.digest, now) == SuspectVerdict.QUARANTINED) {
            return refuse(exchange, NotRun.CRASH_SUSPECT)
        }
        val identity = profile.atMostOnce ?: return enqueue(exchange, profile, NO_RECORD, now)
        when (val resolution = resolver.resolve(identity, profile.deadline)) {
            is RecordResolution.Proceed -> enqueue(exchange, profile, resolution, now)
            is RecordResolution.Replay -> exchange.sendWhole(resolution.answer)
            is RecordResolution.Refused -> refuse(exchange, resolution.refusal)
        }
    }

    private suspend fun enqueue(
        exchange: CallerExchange,
        profile: RequestProfile,
        record: RecordResolution.Proceed,
        now: Instant,
    ) {
        val ticket = Ticket(lastTicket.incrementAndGet())
        val request = WaitingRequest(ticket, profile, arrivedAt = now, excluded = persistentSetOf())
        val pending =
            PendingExchange(
                request = request,
                exchange = exchange,
                recordRevision = record.recordRevision,
                recordOpen = record.recordOpen,
                progress = DeliveryProgress.NOTHING,
                failedAttempts = 0,
            )
        tables.exchanges.update { it.put(ticket, pending) }
        when (val outcome = tables.waiting.transition { WaitingQueue.enqueue(it, request, limits) }) {
            EnqueueOutcome.Queued -> {
                tables.retryBudget.update(RetryBudgetPolicy::earned)
                wakeUp.signal()
            }

            is EnqueueOutcome.Refused -> {
                tables.exchanges.update { it.remove(ticket) }
                refuse(exchange, outcome.reason)
            }
        }
    }

    private suspend fun refuse(
        exchange: CallerExchange,
        refusal: Refusal,
    ) {
        observations.refused(refusal)
        exchange.refuse(refusal)
    }

    private companion object {
        val NO_RECORD = RecordResolution.Proceed(KeyValueStore.ABSENT, recordOpen = false)
    }
}
