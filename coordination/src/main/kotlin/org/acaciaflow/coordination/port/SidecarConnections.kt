package org.acaciaflow.coordination.port

import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import kotlin.time.Duration

/** The gateway's connections to sidecars. */
interface SidecarConnections {
    /** Sends an attempt to the sidecar lifetime in [order]. */
    suspend fun open(
        order: AttemptOrder,
        body: CallBody,
    ): AttemptStream

    /** Asks [sidecar] for the outcome of [attempt]; an attempt that it reports as never started cannot start later. */
    suspend fun settle(
        attempt: AttemptIdentity,
        sidecar: ProcessIdentity,
        timeout: Duration,
    ): SettleAnswer
}
