package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.engine.EnginePath
import org.acaciaflow.coordination.engine.EnginePlanner
import org.acaciaflow.coordination.engine.EngineView
import org.acaciaflow.coordination.engine.LatencyAdmissionPolicy
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.EngineProperties
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Serves generations: chooses the way to the first event, hands KV cache over and joins streams that break. */
internal class EngineRelay(
    private val tables: RelayTables,
    private val candidates: Candidates,
    private val permits: SendPermits,
    private val prefillRun: PrefillRun,
    private val backendRun: BackendRun,
    private val observations: Observations,
    private val clock: Clock,
) {
    /** Serves [request] until its stream is complete, or until it must not be sent again. */
    suspend fun relay(
        request: RelayedRequest,
        prompt: Prompt,
        properties: EngineProperties,
        journal: RelayJournal,
    ): Conclusion {
        var reason = RetryReason.ATTEMPT_REFUSED
        while (true) {
            val now = clock.now()
            if (now >= request.deadline) return timedOut(journal.progress)
            val view = candidates.view(candidates.of(request, journal.progress, now), properties, request.pool)
            val path =
                EnginePlanner.choose(view, prompt, request.route.target, now) ?: return unserved(journal.progress)
            if (journal.progress == RelayProgress.NOTHING) {
                val refusal = refusalAtArrival(request, prompt, view, path, now)
                if (refusal != null) return refusal
            }
            if (!permits.maySend(request, journal.progress, reason, now)) return unserved(journal.progress)
            val step =
                when (path) {
                    is EnginePath.LocalPrefill -> run(request, prompt, properties, path.engine, null, path, journal)
                    is EnginePath.RemotePrefill -> handover(request, prompt, properties, path, journal)
                }
            when (step) {
                is EngineStep.Done -> return step.conclusion
                is EngineStep.Again -> reason = step.reason
            }
        }
    }

    private fun refusalAtArrival(
        request: RelayedRequest,
        prompt: Prompt,
        view: EngineView,
        path: EnginePath,
        now: Instant,
    ): Conclusion? {
        val reason = reasonAgainst(request, prompt, view, path) ?: return null
        val backend =
            when (path) {
                is EnginePath.LocalPrefill -> path.engine
                is EnginePath.RemotePrefill -> path.prefillEngine
            }
        observations.decided(Decision.Declined(request, backend, path.predicted, reason, view.load, now))
        return Conclusion.NotExecuted(reason, LatencyAdmissionPolicy.retryAfter(request.route, path.predicted))
    }

    private fun reasonAgainst(
        request: RelayedRequest,
        prompt: Prompt,
        view: EngineView,
        path: EnginePath,
    ): NotRun? {
        val urgency = request.route.urgency
        return when {
            LatencyAdmissionPolicy.isTooLate(request.route, path.predicted) -> NotRun.LATE_ALREADY
            urgency > 0 && !EnginePlanner.hasRoom(view, prompt, urgency) -> NotRun.ROOM_RESERVED
            else -> null
        }
    }

    private suspend fun handover(
        request: RelayedRequest,
        prompt: Prompt,
        properties: EngineProperties,
        path: EnginePath.RemotePrefill,
        journal: RelayJournal,
    ): EngineStep {
        val sentAt = clock.now()
        observations.decided(Decision.Sent(request, path.prefillEngine, path.predicted, tables.load.snapshot(), sentAt))
        val order = orderFor(request, path.prefillEngine, null, journal)
        return when (val outcome = prefillRun.run(request, order, path, prompt, properties)) {
            is PrefillOutcome.Ready -> {
                journal.note { it.copy(prefillCalls = it.prefillCalls + 1) }
                decode(request, prompt, properties, path, outcome.source, journal)
            }

            is PrefillOutcome.Refused -> {
                notePrefill(journal, path.prefillEngine, counted = outcome.reason != AttemptRefusal.CONNECTION_REFUSED)
                observations.decided(Decision.Ran(request, path.prefillEngine, outcome.toString(), clock.now()))
                EngineStep.Again(RetryReason.ATTEMPT_REFUSED)
            }

            is PrefillOutcome.Broken -> {
                notePrefill(journal, path.prefillEngine, counted = true)
                observations.decided(Decision.Ran(request, path.prefillEngine, outcome.toString(), clock.now()))
                EngineStep.Again(RetryReason.ANSWER_INCOMPLETE)
            }
        }
    }

    private suspend fun decode(
        request: RelayedRequest,
        prompt: Prompt,
        properties: EngineProperties,
        path: EnginePath.RemotePrefill,
        source: CacheSource,
        journal: RelayJournal,
    ): EngineStep {
        val now = clock.now()
        if (now >= request.deadline) {
            prefillRun.release(source)
            return EngineStep.Done(timedOut(journal.progress))
        }
        val view = candidates.view(candidates.of(request, journal.progress, now), properties, request.pool)
        val decoder = EnginePlanner.chooseDecodeEngine(view, prompt, now)
        if (decoder == null || !permits.maySend(request, journal.progress, RetryReason.ATTEMPT_REFUSED, now)) {
            prefillRun.release(source)
            return EngineStep.Done(unserved(journal.progress))
        }
        val step = run(request, prompt, properties, decoder, source, path, journal)
        if (step is EngineStep.Again && step.reason == RetryReason.CACHE_UNAVAILABLE) {
            if (!permits.maySend(request, journal.progress, step.reason, clock.now())) {
                return EngineStep.Done(unserved(journal.progress))
            }
            return run(request, prompt, properties, decoder, null, path, journal)
        }
        return step
    }

    private suspend fun run(
        request: RelayedRequest,
        prompt: Prompt,
        properties: EngineProperties,
        decoder: BackendEntry,
        source: CacheSource?,
        path: EnginePath,
        journal: RelayJournal,
    ): EngineStep {
        val order = orderFor(request, decoder, source, journal)
        val work = if (source == null) workAt(request, properties, decoder, prompt) else FETCH_WORK
        val now = clock.now()
        observations.decided(Decision.Sent(request, decoder, path.predicted, tables.load.snapshot(), now))
        prefillRun.noteRead(decoder.life, prompt, properties, now)
        val patience = patienceOf(request, journal, work + tables.load.snapshot().backlogAt(decoder.life, now))
        val outcome = backendRun.run(request, order, work, patience, journal)
        observations.decided(Decision.Ran(request, decoder, outcome.toString(), clock.now()))
        if (source != null && outcome is RunOutcome.NotExecuted && isRefusedCache(outcome.reason)) {
            prefillRun.release(source)
            journal.note { it.copy(reached = it.reached.add(decoder.life), countedSends = it.countedSends + 1) }
            return EngineStep.Again(RetryReason.CACHE_UNAVAILABLE)
        }
        noteSend(journal, decoder, outcome)
        return concluded(request, outcome, journal)
    }

    private suspend fun concluded(
        request: RelayedRequest,
        outcome: RunOutcome,
        journal: RelayJournal,
    ): EngineStep {
        val repeatable = request.route.kind.repeatable
        return when (outcome) {
            is RunOutcome.Delivered -> {
                EngineStep.Done(Conclusion.Delivered(outcome.status))
            }

            RunOutcome.CallerGone -> {
                EngineStep.Done(Conclusion.CallerGone)
            }

            is RunOutcome.NotExecuted -> {
                EngineStep.Again(RetryReason.ATTEMPT_REFUSED)
            }

            is RunOutcome.Broken -> {
                when {
                    !repeatable -> EngineStep.Done(uncertain(journal.progress, outcome.reason))
                    journal.progress.begun -> EngineStep.Again(RetryReason.STREAM_RESUMED)
                    else -> EngineStep.Again(RetryReason.ANSWER_INCOMPLETE)
                }
            }

            is RunOutcome.Failed -> {
                when {
                    journal.progress.begun -> EngineStep.Done(Conclusion.Cut(MayHaveRun.ANSWER_INCOMPLETE))
                    repeatable && outcome.answer.status >= FIRST_SERVER_ERROR && anotherIsOpen(request, journal) ->
                        EngineStep.Again(RetryReason.BACKEND_FAILED)
                    else -> EngineStep.Done(passOn(request, outcome))
                }
            }
        }
    }

    private fun anotherIsOpen(
        request: RelayedRequest,
        journal: RelayJournal,
    ): Boolean = candidates.of(request, journal.progress, clock.now()).isNotEmpty()

    private fun isRefusedCache(reason: AttemptRefusal): Boolean =
        reason == AttemptRefusal.CACHE_UNAVAILABLE || reason == AttemptRefusal.AT_CAPACITY

    private fun workAt(
        request: RelayedRequest,
        properties: EngineProperties,
        decoder: BackendEntry,
        prompt: Prompt,
    ): Duration = EnginePlanner.prefillTime(candidates.view(listOf(decoder), properties, request.pool), decoder, prompt)

    private fun orderFor(
        request: RelayedRequest,
        backend: BackendEntry,
        source: CacheSource?,
        journal: RelayJournal,
    ): RunOrder =
        RunOrder(
            backend = backend,
            call = request.facts.forwarded,
            requestId = request.facts.requestId,
            timeLeft = request.deadline - clock.now(),
            urgency = request.route.urgency,
            resumeAfter = journal.progress.lastEvent ?: request.facts.resumeAfter,
            source = source,
        )

    /** A stream that can be resumed elsewhere is not waited for when its engine has gone silent. */
    private fun patienceOf(
        request: RelayedRequest,
        journal: RelayJournal,
        predicted: Duration,
    ): Patience {
        val another = journal.progress.reached.size + 1 < request.route.maximumAttempts
        if (!request.route.kind.repeatable || !another) return Patience.UNBOUNDED
        return Patience.forStream(request.route, predicted, request.deadline - clock.now())
    }

    private fun notePrefill(
        journal: RelayJournal,
        reader: BackendEntry,
        counted: Boolean,
    ) {
        journal.note { progress ->
            progress.copy(
                excluded = progress.excluded.add(reader.life),
                prefillCalls = progress.prefillCalls + 1,
                countedSends = if (counted) progress.countedSends + 1 else progress.countedSends,
            )
        }
    }

    /** What follows from one try. */
    private sealed interface EngineStep {
        data class Done(
            val conclusion: Conclusion,
        ) : EngineStep

        data class Again(
            val reason: RetryReason,
        ) : EngineStep
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val FETCH_WORK: Duration = 5.milliseconds
    }
}
