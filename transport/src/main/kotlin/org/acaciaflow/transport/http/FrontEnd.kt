package org.acaciaflow.transport.http

import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.http.RefusalEncoder

/** Current limits and state of a front end for callers. */
internal interface FrontEnd {
    val refusals: RefusalEncoder
    val bodyLimitBytes: Long

    /** Number of bytes of a body to buffer before its call is accepted. */
    val bufferedBytes: Int

    /** True once the process is stopping; answers then ask callers to close their connections. */
    val stopping: Boolean
}

/** A front end with fixed limits. */
internal class FixedFrontEnd(
    override val refusals: RefusalEncoder,
    override val bodyLimitBytes: Long,
    override val bufferedBytes: Int,
    private val stop: StopSignal,
) : FrontEnd {
    override val stopping: Boolean
        get() = stop.requested
}
