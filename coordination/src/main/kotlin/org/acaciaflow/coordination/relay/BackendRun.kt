package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.gateway.sendWhole
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.coordination.reliability.RunVerdict
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Sends a request to one backend server and passes its answer on to the caller. */
internal class BackendRun(
    private val tables: RelayTables,
    private val connections: BackendConnections,
    private val framing: StreamFraming,
    private val jobs: JobNumbers,
    private val clock: Clock,
) {
    /** Runs [order], whose first result is predicted to take [work]; what it told about its server is noted. */
    suspend fun run(
        request: RelayedRequest,
        order: RunOrder,
        work: Duration,
        patience: Patience,
        journal: RelayJournal,
    ): RunOutcome {
        val life = order.backend.life
        val job = jobs.next()
        tables.load.update { LoadLedger.sent(it, life, job, work, tokensOf(request), clock.now()) }
        journal.note { it.copy(sending = true) }
        try {
            val stream = connections.open(order, request.exchange.body)
            val watch = StallWatch(tables, life, patience, clock)
            val followed =
                try {
                    watch.during(stream) { follow(stream, request, life, job, watch, journal) }
                } finally {
                    stream.abandon()
                }
            val stalled = watch.stalled && followed is RunOutcome.Broken
            val outcome = if (stalled) RunOutcome.Broken(MayHaveRun.STREAM_STALLED) else followed
            journal.note { it.copy(sending = false) }
            judge(request, life, outcome)
            return outcome
        } finally {
            tables.load.update { LoadLedger.ended(it, life, job, clock.now()) }
        }
    }

    private fun tokensOf(request: RelayedRequest): Int =
        request.facts.prompt?.let { it.promptTokens + it.maximumOutputTokens } ?: 0

    private suspend fun follow(
        stream: AttemptStream,
        request: RelayedRequest,
        life: BackendLife,
        job: JobIdentity,
        watch: StallWatch,
        journal: RelayJournal,
    ): RunOutcome =
        when (val first = stream.next()) {
            is AttemptEvent.Refused -> {
                RunOutcome.NotExecuted(first.reason)
            }

            is AttemptEvent.Head -> {
                journal.note { it.copy(mayHaveRun = MayHaveRun.ANSWER_INCOMPLETE) }
                if (framing.isEventStream(first.head)) {
                    passEvents(stream, first.head, request, life, job, watch, journal)
                } else {
                    passWhole(stream, first.head, request, journal)
                }
            }

            is AttemptEvent.Broken -> {
                journal.note { it.copy(mayHaveRun = first.reason) }
                RunOutcome.Broken(first.reason)
            }

            is AttemptEvent.Data, AttemptEvent.End -> {
                error("an answer without a head")
            }
        }

    private suspend fun passEvents(
        stream: AttemptStream,
        head: AnswerHead,
        request: RelayedRequest,
        life: BackendLife,
        job: JobIdentity,
        watch: StallWatch,
        journal: RelayJournal,
    ): RunOutcome {
        val delivery = EventDelivery(request.exchange, framing, journal, head, clock)
        var notedAt = Instant.DISTANT_PAST
        while (true) {
            when (val event = stream.next()) {
                is AttemptEvent.Data -> {
                    val now = clock.now()
                    watch.heard(now)
                    if (now - notedAt > NOTE_INTERVAL) {
                        tables.load.update { LoadLedger.producing(it, life, job, now) }
                        notedAt = now
                    }
                    if (delivery.data(event.bytes) == CallerWrite.CALLER_GONE) return RunOutcome.CallerGone
                }

                AttemptEvent.End -> {
                    if (!delivery.whole) return RunOutcome.Broken(MayHaveRun.ANSWER_INCOMPLETE)
                    return ended(delivery.end(), head.status)
                }

                is AttemptEvent.Broken -> {
                    return RunOutcome.Broken(event.reason)
                }

                is AttemptEvent.Head, is AttemptEvent.Refused -> {
                    error("a second head in one answer")
                }
            }
        }
    }

    private suspend fun passWhole(
        stream: AttemptStream,
        head: AnswerHead,
        request: RelayedRequest,
        journal: RelayJournal,
    ): RunOutcome {
        val held = HeldAnswer(head)
        while (true) {
            when (val event = stream.next()) {
                is AttemptEvent.Data -> held.data(event.bytes)
                AttemptEvent.End -> break
                is AttemptEvent.Broken -> return RunOutcome.Broken(event.reason)
                is AttemptEvent.Head, is AttemptEvent.Refused -> error("a second head in one answer")
            }
        }
        val answer = held.answer()
        if (head.status >= FIRST_FAILURE_STATUS || journal.progress.begun) return RunOutcome.Failed(answer)
        journal.note { it.copy(begunAt = clock.now()) }
        return ended(request.exchange.sendWhole(answer), head.status)
    }

    private fun ended(
        written: CallerWrite,
        status: Int,
    ): RunOutcome =
        when (written) {
            CallerWrite.WRITTEN -> RunOutcome.Delivered(status)
            CallerWrite.CALLER_GONE -> RunOutcome.CallerGone
        }

    private fun judge(
        request: RelayedRequest,
        life: BackendLife,
        outcome: RunOutcome,
    ) {
        val now = clock.now()
        val verdict =
            when (outcome) {
                is RunOutcome.Delivered -> RunVerdict.SUCCEEDED
                RunOutcome.CallerGone -> return
                is RunOutcome.NotExecuted -> verdictOf(life, outcome.reason)
                is RunOutcome.Broken -> RunVerdict.FAILED
                is RunOutcome.Failed -> RunVerdict.FAILED
            }
        tables.reliability.update { ReliabilityPolicy.recorded(it, life, verdict, now) }
        if (outcome is RunOutcome.Broken && outcome.reason == MayHaveRun.BACKEND_CRASHED) {
            tables.crashes.update { CrashQuarantine.reported(it, request.digest, life, now) }
        }
    }

    private fun verdictOf(
        life: BackendLife,
        reason: AttemptRefusal,
    ): RunVerdict {
        if (reason == AttemptRefusal.OTHER_LIFE) tables.fleet.update { FleetChanges.rejected(it, life) }
        return if (reason == AttemptRefusal.CONNECTION_REFUSED) RunVerdict.UNREACHABLE else RunVerdict.REFUSED
    }

    private companion object {
        const val FIRST_FAILURE_STATUS = 400
        val NOTE_INTERVAL: Duration = 50.milliseconds // what is told of a server's load need not be finer
    }
}
