package org.acaciaflow.coordination.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.waiting.PoolQueue
import org.acaciaflow.state.waiting.RankQueue
import org.acaciaflow.state.waiting.TeamQueue
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.waiting.WaitingRequests
import kotlin.time.Instant

/** Operations on the queue of waiting requests; each is a pure function of the table's state. */
object WaitingQueue {
    /** Adds a new request unless its rank or its team has reached the limit. */
    fun enqueue(
        waiting: WaitingRequests,
        request: WaitingRequest,
        limits: QueueLimits,
    ): Transition<WaitingRequests, EnqueueOutcome> {
        val queue = waiting.pool(request.profile.pool).rank(request.profile.rank)
        val fromTeam = queue.teams[request.profile.team]?.requests?.size ?: 0
        if (queue.length >= limits.perRank || fromTeam >= limits.perTeam) {
            return Transition(waiting, EnqueueOutcome.Refused(NotRun.QUEUE_FULL))
        }
        return Transition(added(waiting, request, atFront = false), EnqueueOutcome.Queued)
    }

    /** Returns an already admitted request to the front of its team's queue; the limits don't apply. */
    fun requeue(
        waiting: WaitingRequests,
        request: WaitingRequest,
    ): WaitingRequests = added(waiting, request, atFront = true)

    /** Removes a request; the state is unchanged when the request is no longer waiting. */
    fun remove(
        waiting: WaitingRequests,
        request: WaitingRequest,
    ): WaitingRequests {
        val pool = waiting.pool(request.profile.pool)
        val queue = pool.rank(request.profile.rank)
        val team = queue.teams[request.profile.team] ?: return waiting
        if (request.ticket !in team.requests) return waiting
        val left = team.copy(requests = team.requests.remove(request.ticket))
        val shorter =
            queue.copy(
                teams = queue.teams.put(request.profile.team, left),
                length = queue.length - 1,
            )
        return waiting.withPool(request.profile.pool, pool.withRank(request.profile.rank, shorter))
    }

    /** Returns the requests whose deadline has passed at [now]. */
    fun expired(
        waiting: WaitingRequests,
        now: Instant,
    ): List<WaitingRequest> =
        waiting.pools.values
            .flatMap { it.ranks.values }
            .flatMap { it.teams.values }
            .flatMap { it.requests.values }
            .filter { it.profile.deadline <= now }

    private fun added(
        waiting: WaitingRequests,
        request: WaitingRequest,
        atFront: Boolean,
    ): WaitingRequests {
        val pool: PoolQueue = waiting.pool(request.profile.pool)
        val queue: RankQueue = pool.rank(request.profile.rank)
        val team = queue.teams[request.profile.team] ?: TeamQueue.EMPTY
        val requests = if (atFront) prepended(team.requests, request) else team.requests.put(request.ticket, request)
        val longer =
            queue.copy(
                teams = queue.teams.put(request.profile.team, team.copy(requests = requests)),
                length = queue.length + 1,
            )
        return waiting.withPool(request.profile.pool, pool.withRank(request.profile.rank, longer))
    }

    private fun prepended(
        requests: PersistentMap<Ticket, WaitingRequest>,
        request: WaitingRequest,
    ): PersistentMap<Ticket, WaitingRequest> =
        persistentMapOf<Ticket, WaitingRequest>().put(request.ticket, request).putAll(requests)
}
