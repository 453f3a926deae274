package org.acaciaflow.coordination.relay

import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides which requests a stopping gateway still admits, so that none is cut off when the process ends. */
object StopPolicy {
    /**
     * Returns true when a request of [kind] that arrives at [now] is admitted.
     *
     * A request that may take until after the end of the process, by its [deadline], is admitted only while the load
     * balancer still sends new connections, and only if its execution may be repeated or its caller sees that its
     * stream was cut. Otherwise it is refused as not run, and another gateway serves it.
     */
    fun mayAdmit(
        kind: RequestKind,
        deadline: Instant,
        phase: StopPhase,
        now: Instant,
    ): Boolean =
        when (phase) {
            StopPhase.Serving -> true
            is StopPhase.Draining -> deadline <= phase.notice.endsAt || mayBeCut(kind, now - phase.notice.requestedAt)
            StopPhase.Closing -> false
        }

    private fun mayBeCut(
        kind: RequestKind,
        sinceNotice: Duration,
    ): Boolean =
        when (kind) {
            RequestKind.Idempotent, is RequestKind.EventStream -> sinceNotice < BALANCER_NOTICE_PERIOD
            RequestKind.AtMostOnce -> false
        }

    private val BALANCER_NOTICE_PERIOD: Duration = 2.5.seconds // most requests admitted by then end in time
}
