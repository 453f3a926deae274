package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CancellationException
import org.acaciaflow.coordination.buffer.BufferLimits
import org.acaciaflow.coordination.buffer.BufferReservation
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.gateway.sendWhole
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Sends a request to one backend server and relays its answer to the caller. */
internal class BackendRun(
    private val tables: RelayTables,
    private val availability: BackendAvailability,
    private val verdicts: RunVerdicts,
    private val connections: BackendConnections,
    private val framing: StreamFraming,
    private val origins: StreamOrigins,
    private val jobs: JobIdentityAllocator,
    private val bufferLimits: BufferLimits,
    private val socketReads: SocketReads,
    private val clock: Clock,
) {
    /**
     * Executes [order], whose first result is predicted to take [work], unless its server may get no new work.
     *
     * It is hedged as [hedging] says while it exceeds one of [stallTimeouts].
     *
     * Records the load and the outcome in the shared tables.
     */
    suspend fun run(
        request: RelayedRequest,
        order: RunOrder,
        work: Duration,
        stallTimeouts: StallTimeouts,
        tracker: RelayProgressTracker,
        hedging: Hedging,
    ): RunOutcome {
        when (val permission = availability.claim(order)) {
            is SendPermission.Denied -> return RunOutcome.NotExecuted(permission.reason)
            SendPermission.Granted, SendPermission.GrantedAsTrial -> Unit
        }
        val life = order.backend.life
        val job = jobs.next()
        tables.load.update { LoadLedger.sent(it, life, job, work, tokensOf(request), clock.now()) }
        tracker.update { it.copy(attemptsInFlight = it.attemptsInFlight + 1) }
        try {
            // A request that may run once must not be run by a former attempt any more.
            if (!request.route.kind.repeatable) hedging.supersedeFormer()
            val result = attempt(request, order, job, stallTimeouts, tracker, hedging)
            tracker.update { it.copy(attemptsInFlight = it.attemptsInFlight - 1) }
            return when (result) {
                is AttemptResult.Own -> result.result
                is AttemptResult.Superseded -> RunOutcome.Superseded(result.conclusion)
            }
        } catch (cancellation: CancellationException) {
            tracker.update { it.withCancelled(life) }
            throw cancellation
        } catch (failure: Exception) {
            tracker.update { it.withFault(life) }
            throw failure
        } finally {
            tables.load.update { LoadLedger.ended(it, life, job, clock.now()) }
        }
    }

    private suspend fun attempt(
        request: RelayedRequest,
        order: RunOrder,
        job: JobIdentity,
        stallTimeouts: StallTimeouts,
        tracker: RelayProgressTracker,
        hedging: Hedging,
    ): AttemptResult<RunOutcome> {
        val life = order.backend.life
        val stream = connections.open(order, request.body)
        val stalls = RunStallDetector(tables, life, job, stallTimeouts, stream, clock)
        val attempt = HedgedAttempt(stalls, hedging, socketReads, clock)
        val memory = BufferReservation(tables.answerBuffers, bufferLimits, life)
        val run = RunInProgress(request, order, job, tracker, stalls, attempt, memory)
        try {
            return attempt.during(
                mayHedge = { tracker.progress.mayGoOnElsewhere },
                stop = stream::cancel,
                isFinal = { it is RunOutcome.Delivered || it == RunOutcome.CallerGone },
            ) {
                val outcome = relayUnlessSuspect(run)
                verdicts.record(request, life, job, outcome, clock.now())
                tables.load.update { LoadLedger.ended(it, life, job, clock.now()) }
                outcome
            }
        } finally {
            stream.cancel()
        }
    }

    private suspend fun relayUnlessSuspect(run: RunInProgress): RunOutcome {
        val quarantine = QuarantineWatch(tables, run.request, run.job, run.tracker, clock)
        val outcome =
            try {
                quarantine.during(run.stalls.watchedStream) { relayAnswer(it, run) }
            } finally {
                run.memory.release()
            }
        return when {
            outcome !is RunOutcome.Broken -> outcome
            quarantine.givenUp -> RunOutcome.Broken(MayHaveRun.CRASH_SUSPECT)
            run.attempt.superseded -> RunOutcome.Broken(MayHaveRun.STREAM_STALLED)
            else -> outcome
        }
    }

    private fun tokensOf(request: RelayedRequest): Int =
        request.facts.prompt?.let { it.promptTokens + it.maximumOutputTokens } ?: 0

    private suspend fun relayAnswer(
        stream: AttemptStream,
        run: RunInProgress,
    ): RunOutcome =
        when (val first = stream.next()) {
            is AttemptEvent.Refused -> {
                RunOutcome.NotExecuted(first.reason)
            }

            is AttemptEvent.Head -> {
                run.tracker.update { it.copy(mayHaveRun = MayHaveRun.ANSWER_INCOMPLETE) }
                if (framing.isEventStream(first.head)) {
                    relayEvents(stream, first, run)
                } else {
                    relayBuffered(stream, first, run)
                }
            }

            is AttemptEvent.Broken -> {
                run.tracker.update { it.copy(mayHaveRun = first.reason) }
                RunOutcome.Broken(first.reason)
            }

            is AttemptEvent.Data, AttemptEvent.End -> {
                error("backend server sent answer data or its end before the answer head")
            }
        }

    private suspend fun relayEvents(
        stream: AttemptStream,
        first: AttemptEvent.Head,
        run: RunInProgress,
    ): RunOutcome {
        val start = StreamStart(origins, run.request, run.backend, run.tracker, run.stalls)
        val delivery = EventDelivery(run, framing, first, start, clock)
        var recordedAt = Instant.DISTANT_PAST
        while (true) {
            when (val event = stream.next()) {
                is AttemptEvent.Data -> {
                    val now = clock.now()
                    if (now - recordedAt > LOAD_UPDATE_INTERVAL) {
                        tables.load.update { LoadLedger.producing(it, run.backend.life, run.job, now) }
                        recordedAt = now
                    }
                    when (val forwarded = delivery.forward(event.bytes)) {
                        is Forwarded.Written -> if (forwarded.progressed) run.stalls.recordProgress(clock.now())
                        Forwarded.CallerGone -> return RunOutcome.CallerGone
                        Forwarded.Superseded -> return RunOutcome.Broken(MayHaveRun.STREAM_STALLED)
                        Forwarded.Unrecorded -> return RunOutcome.Broken(MayHaveRun.STREAM_UNRECORDED)
                        Forwarded.OutOfOrder -> return RunOutcome.Broken(MayHaveRun.STREAM_NOT_RESUMED)
                        Forwarded.MemorySpent -> return RunOutcome.Broken(MayHaveRun.ANSWER_MEMORY_SPENT)
                        Forwarded.EventTooLarge -> return RunOutcome.Broken(MayHaveRun.ANSWER_TOO_LARGE)
                    }
                }

                AttemptEvent.End -> {
                    // An answer without length ends with its connection, so a crash before its events looks like its end.
                    val incomplete = !delivery.endsAtEventBoundary || !delivery.hasEvents
                    if (incomplete) return RunOutcome.Broken(MayHaveRun.ANSWER_INCOMPLETE)
                    return outcomeOf(delivery.end(), first.head.status)
                }

                is AttemptEvent.Broken -> {
                    return RunOutcome.Broken(event.reason)
                }

                is AttemptEvent.Head, is AttemptEvent.Refused -> {
                    error("backend server sent a second answer head")
                }
            }
        }
    }

    private suspend fun relayBuffered(
        stream: AttemptStream,
        first: AttemptEvent.Head,
        run: RunInProgress,
    ): RunOutcome {
        val head = first.head
        val buffer = BufferedAnswer(head, run.memory)
        while (true) {
            when (val event = stream.next()) {
                is AttemptEvent.Data -> buffer.append(event.bytes)?.let { return RunOutcome.Broken(it) }
                AttemptEvent.End -> break
                is AttemptEvent.Broken -> return RunOutcome.Broken(event.reason)
                is AttemptEvent.Head, is AttemptEvent.Refused -> error("backend server sent a second answer head")
            }
        }
        val answer = buffer.toStoredAnswer()
        if (head.status >= FIRST_FAILURE_STATUS || run.tracker.progress.begun) {
            return RunOutcome.Failed(answer, first.origin)
        }
        val written =
            run.attempt.answer(isAdvance = { true }) {
                run.tracker.update { it.copy(begunAt = clock.now(), origin = first.origin, resumable = false) }
                run.request.exchange.sendWhole(answer)
            }
        return outcomeOf(written, head.status)
    }

    /** Returns the outcome of a run whose answer was [written] to its end; null if another attempt has superseded it. */
    private fun outcomeOf(
        written: CallerWrite?,
        status: Int,
    ): RunOutcome =
        when (written) {
            CallerWrite.WRITTEN -> RunOutcome.Delivered(status)
            CallerWrite.CALLER_GONE -> RunOutcome.CallerGone
            null -> RunOutcome.Broken(MayHaveRun.STREAM_STALLED)
        }

    private companion object {
        const val FIRST_FAILURE_STATUS = 400
        val LOAD_UPDATE_INTERVAL: Duration = 50.milliseconds // load predictions need no finer resolution
    }
}
