package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.dispatch.Assignment
import org.acaciaflow.coordination.port.AttemptOrder
import kotlin.time.Instant

/** The order that [assignment] gives to its sidecar as of [now]. */
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

/** The pending exchange, which from now on prefers servers other than the one of [assignment]. */
internal fun excluding(
    pending: PendingExchange,
    assignment: Assignment,
): PendingExchange {
    val excluded = pending.request.excluded.add(assignment.server.address)
    return pending.copy(request = pending.request.copy(excluded = excluded))
}
