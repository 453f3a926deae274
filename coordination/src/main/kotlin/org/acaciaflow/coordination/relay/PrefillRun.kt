package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.acaciaflow.coordination.engine.EnginePath
import org.acaciaflow.coordination.engine.PromptCaches
import org.acaciaflow.coordination.engine.RateEstimator
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.coordination.reliability.RunVerdict
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.route.EngineProperties
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Runs prefills on prefill engines and records which prompt parts engines have processed. */
internal class PrefillRun(
    private val tables: RelayTables,
    private val availability: BackendAvailability,
    private val connections: BackendConnections,
    private val jobs: JobIdentityAllocator,
    private val socketReads: SocketReads,
    private val clock: Clock,
) {
    /**
     * Prefills the prompt of [request] on the prefill engine of [path], unless it may get no new work.
     *
     * It is hedged as [hedging] says while it takes much longer than predicted.
     *
     * Records the load and the outcome in the shared tables.
     */
    suspend fun run(
        request: RelayedRequest,
        order: RunOrder,
        path: EnginePath.RemotePrefill,
        prompt: Prompt,
        properties: EngineProperties,
        hedging: Hedging,
    ): AttemptResult<PrefillOutcome> {
        when (val permission = availability.claim(order)) {
            is SendPermission.Denied -> return AttemptResult.Own(PrefillOutcome.Refused(permission.reason))
            SendPermission.Granted, SendPermission.GrantedAsTrial -> Unit
        }
        val life = order.backend.life
        val job = jobs.next()
        val sentAt = clock.now()
        val wasIdle = tables.load.snapshot().backlogAt(life, sentAt) == Duration.ZERO
        tables.load.update { LoadLedger.sent(it, life, job, path.work, prompt.promptTokens, sentAt) }
        recordCachedParts(life, prompt, properties, sentAt)
        try {
            val stalls = PrefillStallDetector(sentAt, StallTimeouts.forPrefill(path.predicted))
            val attempt = HedgedAttempt(stalls, hedging, socketReads, clock)
            return coroutineScope {
                val prefill = async { connections.prefill(order, request.body) }
                val result =
                    attempt.during(
                        mayHedge = { true },
                        stop = prefill::cancel,
                        isFinal = { it is PrefillOutcome.Ready },
                    ) { outcomeOf(prefill).also { recordOutcome(request, order.backend, path, it, wasIdle, sentAt) } }
                result.also { if (it is AttemptResult.Superseded) releaseUnused(prefill) }
            }
        } finally {
            tables.load.update { LoadLedger.ended(it, life, job, clock.now()) }
        }
    }

    /** Waits for the outcome of [prefill], which is cancelled if another attempt serves its request. */
    private suspend fun outcomeOf(prefill: Deferred<PrefillOutcome>): PrefillOutcome =
        try {
            prefill.await()
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            PrefillOutcome.Broken(MayHaveRun.STREAM_STALLED)
        }

    /** Releases the KV cache of a [prefill] that was ready just before another attempt served its request. */
    private suspend fun releaseUnused(prefill: Deferred<PrefillOutcome>) {
        val outcome = outcomeOf(prefill)
        if (outcome is PrefillOutcome.Ready) release(outcome.source)
    }

    private fun recordOutcome(
        request: RelayedRequest,
        engine: BackendEntry,
        path: EnginePath.RemotePrefill,
        outcome: PrefillOutcome,
        wasIdle: Boolean,
        sentAt: Instant,
    ) {
        val now = clock.now()
        verdictOf(engine.life, outcome)?.let { verdict ->
            tables.reliability.update { ReliabilityPolicy.recorded(it, engine.life, verdict, now) }
        }
        if (outcome is PrefillOutcome.Ready) {
            recordDelay(request, path, now - sentAt)
            if (wasIdle) updateRate(request, engine.role, path.work, now - sentAt)
        }
    }

    /** Records that the KV cache of engine [life] will hold the parts of [prompt]. */
    fun recordCachedParts(
        life: BackendLife,
        prompt: Prompt,
        properties: EngineProperties,
        now: Instant,
    ) {
        tables.caches.update { PromptCaches.prefilled(it, life, prompt.parts, properties.cacheTokens, now) }
        tables.reads.add(life, prompt.parts)
    }

    /** Learns from a prefill on decode engine [engine] that was idle when it got the request at [sentAt]. */
    fun recordLocalPrefill(
        request: RelayedRequest,
        engine: BackendEntry,
        predicted: Duration,
        progress: RelayProgress,
        sentAt: Instant,
    ) {
        val begunAt = progress.begunAt ?: return
        updateRate(request, engine.role, predicted, begunAt - sentAt - DECODE_STEP)
    }

    /** Releases KV cache that no engine will fetch. */
    fun release(source: CacheSource) = connections.release(source)

    private fun recordDelay(
        request: RelayedRequest,
        path: EnginePath.RemotePrefill,
        measured: Duration,
    ) {
        val urgency = request.urgency
        val prefillTime = (measured - NETWORK_TIME).coerceAtLeast(NETWORK_TIME)
        tables.rates.update { RateEstimator.withDelay(it, request.pool, urgency, path.queued, prefillTime) }
    }

    private fun updateRate(
        request: RelayedRequest,
        role: EngineRole,
        predicted: Duration,
        measured: Duration,
    ) {
        val prefillTime = (measured - NETWORK_TIME).coerceAtLeast(NETWORK_TIME)
        tables.rates.update { RateEstimator.withSample(it, request.pool, role, predicted, prefillTime) }
    }

    /** Returns the verdict on [life] after [outcome]; null when nothing was sent to it. */
    private fun verdictOf(
        life: BackendLife,
        outcome: PrefillOutcome,
    ): RunVerdict? =
        when (outcome) {
            is PrefillOutcome.Ready -> {
                RunVerdict.SUCCEEDED
            }

            is PrefillOutcome.Broken -> {
                RunVerdict.FAILED
            }

            is PrefillOutcome.Refused -> {
                if (outcome.reason == AttemptRefusal.OTHER_LIFE) tables.fleet.update { FleetChanges.rejected(it, life) }
                when (outcome.reason) {
                    in SendPermission.DENIALS -> null
                    AttemptRefusal.CONNECTION_REFUSED -> RunVerdict.UNREACHABLE
                    else -> RunVerdict.REFUSED
                }
            }
        }

    private companion object {
        val NETWORK_TIME: Duration = 3.milliseconds
        val DECODE_STEP: Duration = 4.milliseconds // the first token follows the prefill by one step
    }
}
