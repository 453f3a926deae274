package org.acaciaflow.coordination.port

import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import kotlin.time.Duration

/** The gateway's links to sidecars. */
interface SidecarConnections {
    /** Hands an attempt to the sidecar life that it names. */
    suspend fun open(
        order: AttemptOrder,
        body: CallBody,
    ): AttemptStream

    /** Asks [sidecar] what became of [attempt]; an attempt that it never started will never start. */
    suspend fun settle(
        attempt: AttemptIdentity,
        sidecar: ProcessIdentity,
        timeout: Duration,
    ): SettleAnswer
}
