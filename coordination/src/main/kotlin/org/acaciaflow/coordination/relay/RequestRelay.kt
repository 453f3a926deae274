package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallFacts
import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.coordination.port.wholeBodyOf
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Clock

/** Serves callers' requests by calling backend servers directly. */
class RequestRelay internal constructor(
    private val dialect: CallerDialect,
    private val initialConfiguration: InitialConfigurationWait,
    private val admission: RelayAdmission,
    private val turns: RequestTurns,
    private val streamVersions: StreamVersions,
    private val retryLimiter: RetryLimiter,
    private val plain: PlainRelay,
    private val engine: EngineRelay,
    private val observations: Observations,
    private val stop: StopSignal,
    private val clock: Clock,
) : CallAcceptor {
    override suspend fun accept(exchange: CallerExchange) {
        val body = wholeBodyOf(exchange.body) ?: return refuse(exchange, NotRun.BODY_TOO_LARGE)
        when (val decoded = dialect.read(exchange.call)) {
            is Decoded.Invalid -> refuse(exchange, NotRun.IDENTITY_UNREADABLE)
            is Decoded.Valid -> accept(exchange, decoded.value, body)
        }
    }

    private suspend fun accept(
        exchange: CallerExchange,
        facts: CallFacts,
        body: WholeBody,
    ) {
        val now = clock.now()
        initialConfiguration.await(clock)
        when (val admitted = admission.admit(exchange, facts, body, now)) {
            is Admission.Admitted -> {
                serve(admitted.request)
            }

            is Admission.Refused -> {
                observations.refused(admitted.reason)
                observations.decided(
                    Decision.Refused(
                        facts.requestId,
                        facts.host,
                        facts.path,
                        admitted.version,
                        admitted.reason,
                        now,
                    ),
                )
                exchange.refuse(admitted.reason, admitted.retryAfter)
            }
        }
    }

    private suspend fun refuse(
        exchange: CallerExchange,
        reason: NotRun,
    ) {
        observations.refused(reason)
        exchange.refuse(reason)
    }

    private suspend fun serve(request: RelayedRequest) {
        val tracker = RelayProgressTracker()
        retryLimiter.countRequest(request, request.arrivedAt)
        if (endsWithCaller(request.route.kind)) cancelOnDisconnect(request)
        try {
            conclude(request, tracker, withFailure(request, tracker, conclusionOf(request, tracker)))
        } catch (cancellation: CancellationException) {
            recordConclusion(request, tracker, Conclusion.CallerGone)
            throw cancellation
        }
    }

    /** Forwards the failure that a server answered with, where [conclusion] tells less than that. */
    private suspend fun withFailure(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
        conclusion: Conclusion,
    ): Conclusion {
        val failure = tracker.failure
        return if (conclusion is Conclusion.Uncertain && failure != null) {
            forwardFailure(request, failure, tracker)
        } else {
            conclusion
        }
    }

    /** Relays [request] until its deadline at most; an exception on the way is a conclusion too. */
    private suspend fun conclusionOf(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
    ): Conclusion =
        try {
            val left = request.deadline - clock.now()
            withTimeoutOrNull(left) { relayUntilStop(request, tracker) } ?: timedOut(tracker.progress)
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Exception) {
            observations.event(Event.WorkerFailed(failure))
            uncertain(tracker.progress, MayHaveRun.GATEWAY_FAULT)
        }

    /** Relays [request]; breaks off when the process ends. */
    private suspend fun relayUntilStop(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
    ): Conclusion =
        coroutineScope {
            val relaying = async(start = CoroutineStart.UNDISPATCHED) { relay(request, tracker) }
            val handle = stop.onEnd { relaying.cancel() }
            try {
                relaying.await()
            } catch (_: CancellationException) {
                currentCoroutineContext().ensureActive()
                stopped(tracker.progress)
            } finally {
                handle.dispose()
            }
        }

    private suspend fun relay(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
    ): Conclusion {
        turns.await(request)
        when (val decision = streamVersions.decide(request)) {
            is VersionDecision.Admitted -> tracker.update { it.copy(versions = decision.versions) }
            is VersionDecision.Refused -> return decision.conclusion
        }
        val prompt = request.facts.prompt
        val properties = request.service?.engine
        return when {
            prompt != null && properties != null -> engine.relay(request, prompt, properties, tracker)
            else -> plain.relay(request, tracker)
        }
    }

    /** A plain request that must not be repeated runs to completion: cancelling it could leave its work half done. */
    private fun endsWithCaller(kind: RequestKind): Boolean =
        when (kind) {
            RequestKind.Idempotent, is RequestKind.EventStream -> true
            RequestKind.AtMostOnce -> false
        }

    private suspend fun cancelOnDisconnect(request: RelayedRequest) {
        val serving: Job = currentCoroutineContext().job
        request.exchange.onDisconnect { serving.cancel() }
    }

    private suspend fun conclude(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
        conclusion: Conclusion,
    ) {
        recordConclusion(request, tracker, conclusion)
        when (conclusion) {
            is Conclusion.Delivered, Conclusion.CallerGone -> Unit
            is Conclusion.NotExecuted -> request.exchange.refuse(conclusion.reason, conclusion.retryAfter)
            is Conclusion.Uncertain -> request.exchange.refuse(conclusion.reason)
            is Conclusion.Aborted -> request.exchange.abort(conclusion.reason)
        }
    }

    private fun recordConclusion(
        request: RelayedRequest,
        tracker: RelayProgressTracker,
        conclusion: Conclusion,
    ) {
        when (conclusion) {
            is Conclusion.Delivered -> observations.answered(request.route.urgency, clock.now() - request.arrivedAt)
            Conclusion.CallerGone -> observations.refused(MayHaveRun.CALLER_GONE)
            is Conclusion.NotExecuted -> observations.refused(conclusion.reason)
            is Conclusion.Uncertain -> observations.refused(conclusion.reason)
            is Conclusion.Aborted -> observations.refused(conclusion.reason)
        }
        if (request.isTakeUp) observations.takenUp(TakeUpOutcome.of(conclusion, tracker.progress))
        observations.decided(Decision.Concluded(request, conclusion, tracker.progress, clock.now()))
    }
}
