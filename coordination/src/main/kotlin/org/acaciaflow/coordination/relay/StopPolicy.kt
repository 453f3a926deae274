package org.acaciaflow.coordination.relay

import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** When a process was asked to stop, and when it ends at the latest. */
data class StopNotice(
    val requestedAt: Instant,
    val endsAt: Instant,
)

/** Decides which requests a stopping gateway still takes, so that its end cuts none of them. */
object StopPolicy {
    /** True when a request of [route] that comes as of [now] can be answered before the end. */
    fun mayTake(
        route: Route,
        notice: StopNotice,
        now: Instant,
    ): Boolean =
        when (route.kind) {
            is RequestKind.EventStream -> now - notice.requestedAt < STREAMS_TAKEN_FOR
            RequestKind.Idempotent, RequestKind.AtMostOnce -> now + minOf(route.timeout, LONG_CALL) < notice.endsAt
        }

    private val STREAMS_TAKEN_FOR: Duration = 2.5.seconds // within the balancer's notice; most streams then have ended
    private val LONG_CALL: Duration = 2.seconds
}
