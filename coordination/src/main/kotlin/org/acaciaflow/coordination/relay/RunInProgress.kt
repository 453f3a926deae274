package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.buffer.BufferReservation
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.load.JobIdentity

/** The run [job] of [request] at [backend], whose answer is being relayed; [memory] is reserved for its incomplete parts. */
internal class RunInProgress(
    val request: RelayedRequest,
    val backend: BackendEntry,
    val job: JobIdentity,
    val tracker: RelayProgressTracker,
    val stalls: RunStallDetector,
    val attempt: HedgedAttempt,
    val memory: BufferReservation,
)
