package org.acaciaflow.coordination.relay

import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** When the process was asked to stop, and the latest time at which it exits. */
data class StopNotice(
    val requestedAt: Instant,
    val endsAt: Instant,
)

/** Decides which requests a stopping gateway still admits, so that none is cut off when the process exits. */
object StopPolicy {
    /** Returns true when a request of [route] that arrives at [now] is expected to end before the process exits. */
    fun mayAdmit(
        route: Route,
        notice: StopNotice,
        now: Instant,
    ): Boolean =
        when (route.kind) {
            is RequestKind.EventStream -> now - notice.requestedAt < STREAM_ADMISSION_PERIOD
            RequestKind.Idempotent, RequestKind.AtMostOnce -> now + minOf(route.timeout, CALL_TIME_CAP) < notice.endsAt
        }

    // Within the load balancer's notice period; most streams admitted by then end before the process exits.
    private val STREAM_ADMISSION_PERIOD: Duration = 2.5.seconds
    private val CALL_TIME_CAP: Duration = 2.seconds // calls with a longer timeout count as this long
}
