package org.acaciaflow.transport.http

import org.acaciaflow.coordination.caller.CallerTimeouts
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.http.RefusalEncoder
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** Current limits and state of a front end for callers. */
internal interface FrontEnd {
    val refusals: RefusalEncoder

    /** True once the process is stopping; answers then ask callers to close their connections. */
    val stopping: Boolean

    /** How long callers may take at present. */
    val timeouts: CallerTimeouts

    /** Returns the limits for the body of a call that has just arrived; they hold until the call is answered. */
    suspend fun bodyLimits(): BodyLimits

    /** Returns how long the caller of [call] waits for its answer; null if it does not say so. */
    fun timeLimitOf(call: CallHead): Duration?
}

/**
 * Limits for the body of one call.
 *
 * A body of more than [maximumBytes] is refused with [excess]. Its first [bufferedBytes] are buffered before the call is
 * accepted.
 */
internal data class BodyLimits(
    val maximumBytes: Long,
    val bufferedBytes: Long,
    val excess: NotRun,
)

/** A front end with fixed limits of size, and none of time. */
internal class FixedFrontEnd(
    override val refusals: RefusalEncoder,
    bodyLimitBytes: Long,
    bufferedBytes: Int,
    private val stop: StopSignal,
) : FrontEnd {
    override val timeouts = CallerTimeouts.UNBOUNDED

    private val limits = BodyLimits(bodyLimitBytes, bufferedBytes.toLong(), NotRun.BODY_TOO_LARGE)

    override val stopping: Boolean
        get() = stop.requested

    override suspend fun bodyLimits(): BodyLimits = limits

    override fun timeLimitOf(call: CallHead): Duration? = null
}
