package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.dispatch.Assignment
import org.acaciaflow.coordination.port.AttemptOrder
import kotlin.time.Instant

/** Builds the order that is sent to the sidecar of [assignment]; the time left is computed as of [now]. */
internal fun orderFor(
    pending: PendingExchange,
    assignment: Assignment,
    now: Instant,
): AttemptOrder {
    val profile = pending.request.profile
    return AttemptOrder(
        attempt = assignment.attempt,
        sidecar = assignment.server,
        call = pending.exchange.call,
        rank = profile.rank,
        atMostOnce = profile.atMostOnce != null,
        alone = assignment.alone,
        digest = profile.digest,
        resumeFromToken = pending.progress.events,
        timeLeft = profile.deadline - now,
    )
}

/** Returns [pending] with the server of [assignment] excluded; it is used again only when no other is available. */
internal fun excluding(
    pending: PendingExchange,
    assignment: Assignment,
): PendingExchange {
    val excluded = pending.request.excluded.add(assignment.server.address)
    return pending.copy(request = pending.request.copy(excluded = excluded))
}
