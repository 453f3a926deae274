package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.stream.StartVersions
import org.acaciaflow.coordination.stream.StreamIdentity
import org.acaciaflow.coordination.stream.StreamOrigin
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.coordination.stream.VersionConstraint
import org.acaciaflow.state.refusal.NotRun
import kotlin.time.Clock

/** Decides at which software versions a stream that may be taken up can begin or go on. */
internal class StreamVersions(
    private val origins: StreamOrigins,
    private val observations: Observations,
    private val clock: Clock,
) {
    /** Decides on [request] before a server is chosen for it. */
    suspend fun decide(request: RelayedRequest): VersionDecision =
        when {
            request.isTakeUp -> decideTakeUp(request)
            else -> request.stream?.let { decideStart(request, it) } ?: VersionDecision.Admitted(VersionConstraint.Any)
        }

    private suspend fun decideTakeUp(request: RelayedRequest): VersionDecision {
        val origin = origins.originOf(request.earlierStream, request.place, request.pool)
        observations.decided(Decision.OriginLookedUp(request, origin, clock.now()))
        return when (origin) {
            is StreamOrigin.Known -> VersionDecision.Admitted(VersionConstraint.Only(origin.proof.version))
            is StreamOrigin.Unknown ->
                VersionDecision.Refused(Conclusion.NotExecuted(NotRun.STREAM_ORIGIN_UNKNOWN, origin.retryAfter))
        }
    }

    private fun decideStart(
        request: RelayedRequest,
        stream: StreamIdentity,
    ): VersionDecision =
        when (val start = origins.startOf(stream, request.pool)) {
            StartVersions.Any -> VersionDecision.Admitted(VersionConstraint.Any)
            is StartVersions.Only -> VersionDecision.Admitted(VersionConstraint.Only(start.version))
            is StartVersions.None ->
                VersionDecision.Refused(Conclusion.NotExecuted(NotRun.STREAM_UNRECORDABLE, start.retryAfter))
        }
}

/** Whether a request may be sent, as far as the software versions of its servers matter. */
internal sealed interface VersionDecision {
    /** It may be sent to servers that [versions] allows. */
    data class Admitted(
        val versions: VersionConstraint,
    ) : VersionDecision

    data class Refused(
        val conclusion: Conclusion,
    ) : VersionDecision
}
