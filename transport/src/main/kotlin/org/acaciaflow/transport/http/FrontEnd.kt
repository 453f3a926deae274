package org.acaciaflow.transport.http

import org.acaciaflow.protocol.http.RefusalEncoder

/** What a front end for callers goes by at this moment. */
internal interface FrontEnd {
    val refusals: RefusalEncoder
    val bodyLimitBytes: Long

    /** How much of a body is read before its call is taken on. */
    val bufferedBytes: Int

    /** True once the process stops, so that callers should use other connections. */
    val stopping: Boolean
}

/** A front end whose limits come from settings. */
internal class FixedFrontEnd(
    override val refusals: RefusalEncoder,
    override val bodyLimitBytes: Long,
    override val bufferedBytes: Int,
) : FrontEnd {
    override val stopping: Boolean
        get() = false
}
