package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.engine.EnginePath
import org.acaciaflow.coordination.engine.EnginePlanner
import org.acaciaflow.coordination.engine.EngineView
import org.acaciaflow.coordination.engine.LatencyAdmissionPolicy
import org.acaciaflow.coordination.engine.MeanPrefills
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.refusal.NotRun
import kotlin.time.Instant

/** Decides on arrival whether a generation is taken on. */
internal class GenerationAdmission(
    private val tables: RelayTables,
    private val observations: Observations,
) {
    /**
     * Returns the refusal of [request], whose best path is [path] as of [now]; null if it is taken on.
     *
     * A take-up can go on at the servers of one version only, and they admit it first. So it may use reserved slots, and
     * is refused only if its own work exceeds the time left.
     * Either way, the request counts towards the average prefill of its route.
     */
    fun refusalAtArrival(
        request: RelayedRequest,
        prompt: Prompt,
        view: EngineView,
        path: EnginePath,
        now: Instant,
    ): Conclusion.NotExecuted? {
        val tokens = EnginePlanner.prefillTokens(view, path)
        tables.meanPrefills.update { MeanPrefills.withSample(it, request.route.name, tokens) }
        val reason = refusalReason(request, prompt, view, path, now) ?: return null
        observations.decided(Decision.Declined(request, path, reason, view.load, now))
        return Conclusion.NotExecuted(reason, LatencyAdmissionPolicy.retryAfter(request.route, path))
    }

    private fun refusalReason(
        request: RelayedRequest,
        prompt: Prompt,
        view: EngineView,
        path: EnginePath,
        now: Instant,
    ): NotRun? {
        val urgency = request.route.urgency
        val timeLeft = request.deadline - now
        return when {
            request.isTakeUp -> NotRun.LATE_ALREADY.takeUnless { LatencyAdmissionPolicy.canStartFirst(path, timeLeft) }
            LatencyAdmissionPolicy.isTooLate(request.route, path, timeLeft) -> NotRun.LATE_ALREADY
            urgency > 0 && !EnginePlanner.hasRoom(view, prompt, urgency) -> NotRun.ROOM_RESERVED
            else -> null
        }
    }
}
