package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.coordination.port.CallFacts
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.coordination.stream.StreamIdentity
import org.acaciaflow.coordination.stream.StreamPlace
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutedService
import kotlin.time.Instant

/**
 * An admitted request; [version] is the configuration version that it was admitted under.
 *
 * [service] is null when the configuration does not describe the pool. [crashSubjects] is what in it
 * may crash backend servers.
 */
data class RelayedRequest(
    val exchange: CallerExchange,
    val facts: CallFacts,
    val body: WholeBody,
    val route: Route,
    val pool: PoolName,
    val service: RoutedService?,
    val version: Long,
    val crashSubjects: PersistentList<CrashSubject>,
    val arrivedAt: Instant,
    val deadline: Instant,
) {
    /** The time after which an answer is late, assuming that this is the first attempt of its caller. */
    val dueAt: Instant
        get() = arrivedAt + route.target

    /** True if the caller has events of the answer from an earlier attempt and goes on with it. */
    val isTakeUp: Boolean
        get() = mayBeTakenUp(route.kind) && facts.resumeAfter != null

    /** How urgent this request is for the servers; a take-up is most urgent, since its caller waits within an answer. */
    val urgency: Int
        get() = if (isTakeUp) MOST_URGENT else route.urgency

    /** Where its caller asks for a stream. */
    val place: StreamPlace
        get() = StreamPlace(facts.host, facts.path)

    /** The name of the stream that this request takes up; null if it takes up none, or one that it does not name. */
    val earlierStream: StreamIdentity?
        get() = facts.firstAttempt?.takeIf { isTakeUp }?.let { StreamIdentity(it, place) }

    /** The name of the stream that answers this request; null if no caller may take it up. */
    val stream: StreamIdentity?
        get() = earlierStream ?: StreamIdentity(facts.requestId, place).takeIf { mayBeTakenUp(route.kind) }

    /** Returns true when an answer that starts at [now] is late. */
    fun isLate(now: Instant): Boolean = now > dueAt

    private companion object {
        const val MOST_URGENT = 0
    }
}

/** Returns true if a caller may take up an answer to a request of [kind] again. */
internal fun mayBeTakenUp(kind: RequestKind): Boolean =
    when (kind) {
        RequestKind.Idempotent, RequestKind.AtMostOnce -> false
        is RequestKind.EventStream -> kind.resumable
    }
