package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.coordination.stream.VersionConstraint
import org.acaciaflow.state.fleet.BackendEntry

/** Binds the stream of one request to the software version of [backend], which writes its first event. */
internal class StreamStart(
    private val origins: StreamOrigins,
    private val request: RelayedRequest,
    private val backend: BackendEntry,
    private val tracker: RelayProgressTracker,
    private val stalls: RunStallDetector,
) {
    /** Called before the first part of the answer is passed to the caller; returns false if it must not be. */
    suspend fun beforeFirstPart(): Boolean {
        tracker.update { it.copy(versions = VersionConstraint.Only(backend.software)) }
        val stream = request.stream ?: return true
        if (!request.isTakeUp) {
            return stalls.suspendedDuring { origins.began(stream, request.pool, backend.software) }
        }
        origins.wentOn(stream, request.pool, backend.software)
        return true
    }
}
