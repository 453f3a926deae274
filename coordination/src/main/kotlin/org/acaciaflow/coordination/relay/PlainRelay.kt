package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.plain.PlainSelection
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.refusal.AttemptRefusal
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Serves requests for plain services. */
internal class PlainRelay(
    private val tables: RelayTables,
    private val candidates: Candidates,
    private val permits: SendPermits,
    private val backendRun: BackendRun,
    private val ownDataCentre: DataCentre,
    private val observations: Observations,
    private val clock: Clock,
) {
    /** Sends [request] until it is answered, or until it must not be sent again. */
    suspend fun relay(
        request: RelayedRequest,
        journal: RelayJournal,
    ): Conclusion {
        var reason = RetryReason.ATTEMPT_REFUSED
        while (true) {
            val now = clock.now()
            if (now >= request.deadline) return timedOut(journal.progress)
            val open = candidates.of(request, journal.progress, now)
            val chosen =
                PlainSelection.choose(open, tables.load.snapshot(), tables.reliability.snapshot(), ownDataCentre)
                    ?: return unserved(journal.progress)
            if (!permits.maySend(request, journal.progress, reason, now)) return unserved(journal.progress)
            when (val outcome = send(request, chosen, journal)) {
                is RunOutcome.Delivered -> {
                    return Conclusion.Delivered(outcome.status)
                }

                RunOutcome.CallerGone -> {
                    return Conclusion.CallerGone
                }

                is RunOutcome.NotExecuted -> {
                    reason = RetryReason.ATTEMPT_REFUSED
                }

                is RunOutcome.Broken -> {
                    if (!request.route.kind.repeatable) return uncertain(journal.progress, outcome.reason)
                    reason = RetryReason.ANSWER_INCOMPLETE
                }

                is RunOutcome.Failed -> {
                    if (!mayRepeat(request, journal, outcome)) return passOn(request, outcome)
                    reason = RetryReason.BACKEND_FAILED
                }
            }
        }
    }

    private suspend fun send(
        request: RelayedRequest,
        chosen: BackendEntry,
        journal: RelayJournal,
    ): RunOutcome {
        val now = clock.now()
        val order =
            RunOrder(
                backend = chosen,
                call = request.facts.forwarded,
                requestId = request.facts.requestId,
                timeLeft = request.deadline - now,
                urgency = request.route.urgency,
                resumeAfter = null,
                source = null,
            )
        observations.decided(Decision.Sent(request, chosen, NO_PREDICTION, tables.load.snapshot(), now))
        val outcome = backendRun.run(request, order, TYPICAL_WORK, patienceOf(request, journal), journal)
        noteSend(journal, chosen, outcome)
        observations.decided(Decision.Ran(request, chosen, outcome.toString(), clock.now()))
        return outcome
    }

    /** A repeatable request that is slow is worth a second try while there is time for one. */
    private fun patienceOf(
        request: RelayedRequest,
        journal: RelayJournal,
    ): Patience {
        val another = journal.progress.reached.size + 1 < request.route.maximumAttempts
        if (!request.route.kind.repeatable || !another) return Patience.UNBOUNDED
        return Patience.forPlainCall(request.route)
    }

    private fun mayRepeat(
        request: RelayedRequest,
        journal: RelayJournal,
        failed: RunOutcome.Failed,
    ): Boolean {
        if (!request.route.kind.repeatable || failed.answer.status < FIRST_SERVER_ERROR) return false
        val now = clock.now()
        if (request.deadline - now < request.route.target) return false
        return candidates.of(request, journal.progress, now).isNotEmpty()
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val TYPICAL_WORK: Duration = 40.milliseconds
        val NO_PREDICTION: Duration = Duration.ZERO
    }
}

/** Notes where a send went and that it must not go there again. */
internal fun noteSend(
    journal: RelayJournal,
    backend: BackendEntry,
    outcome: RunOutcome,
) {
    val unsent = outcome is RunOutcome.NotExecuted && outcome.reason == AttemptRefusal.CONNECTION_REFUSED
    journal.note { progress ->
        progress.copy(
            reached = if (unsent) progress.reached else progress.reached.add(backend.life),
            countedSends = if (unsent) progress.countedSends else progress.countedSends + 1,
            excluded = progress.excluded.add(backend.life),
        )
    }
}
