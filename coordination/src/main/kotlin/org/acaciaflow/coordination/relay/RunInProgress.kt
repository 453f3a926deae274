package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.buffer.BufferReservation
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.load.JobIdentity

/** The run [job] of [request] by [order], whose answer is being relayed; [memory] is reserved for its incomplete parts. */
internal class RunInProgress(
    val request: RelayedRequest,
    val order: RunOrder,
    val job: JobIdentity,
    val tracker: RelayProgressTracker,
    val stalls: RunStallDetector,
    val attempt: HedgedAttempt,
    val memory: BufferReservation,
) {
    val backend: BackendEntry
        get() = order.backend
}
