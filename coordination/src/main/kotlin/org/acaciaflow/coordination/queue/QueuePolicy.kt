package org.acaciaflow.coordination.queue

import org.acaciaflow.state.waiting.PoolQueue
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.work.Rank
import kotlin.math.max

/** Orders the waiting requests of a pool and accounts for the ones that are served. */
sealed interface QueuePolicy {
    /** Most urgent rank first, with a minimum share for each rank and fair queueing among the teams of a rank. */
    data class RankedWithFloors(
        val limits: QueueLimits,
    ) : QueuePolicy

    /** In order of arrival regardless of rank; the baseline for measurements. */
    data object FirstComeFirstServed : QueuePolicy
}

/** Returns the first waiting request of each team, in the order in which [policy] serves them. */
fun candidates(
    policy: QueuePolicy,
    pool: PoolQueue,
): List<WaitingRequest> =
    when (policy) {
        is QueuePolicy.RankedWithFloors -> rankOrder(pool).flatMap { firstRequests(pool, it) }
        QueuePolicy.FirstComeFirstServed -> Rank.entries.flatMap { firstRequests(pool, it) }.sortedBy { it.arrivedAt }
    }

/** Returns the pool's queue with [request] charged to its team's virtual time and to the floor credits of the ranks. */
fun charged(
    policy: QueuePolicy,
    pool: PoolQueue,
    request: WaitingRequest,
): PoolQueue =
    when (policy) {
        is QueuePolicy.RankedWithFloors -> withFloorsCharged(policy.limits, withTeamCharged(pool, request), request)
        QueuePolicy.FirstComeFirstServed -> pool
    }

private fun rankOrder(pool: PoolQueue): List<Rank> {
    val waiting = Rank.entries.filter { pool.rank(it).length > 0 }
    val owed = waiting.filter { pool.rank(it).floorCredit >= firstRequestUnits(pool, it) }
    return owed + (waiting - owed.toSet())
}

private fun firstRequestUnits(
    pool: PoolQueue,
    rank: Rank,
): Double =
    firstRequests(pool, rank)
        .firstOrNull()
        ?.profile
        ?.estimate
        ?.units ?: Double.MAX_VALUE

private fun firstRequests(
    pool: PoolQueue,
    rank: Rank,
): List<WaitingRequest> =
    pool
        .rank(rank)
        .teams.values
        .filter { it.requests.isNotEmpty() }
        .sortedBy { it.virtualFinish }
        .map { it.requests.values.first() }

private fun withTeamCharged(
    pool: PoolQueue,
    request: WaitingRequest,
): PoolQueue {
    val queue = pool.rank(request.profile.rank)
    val team = queue.teams[request.profile.team] ?: return pool
    val start = max(team.virtualFinish, queue.virtualTime)
    val served = team.copy(virtualFinish = start + request.profile.estimate.units)
    val next =
        queue.copy(
            teams = queue.teams.put(request.profile.team, served),
            virtualTime = start,
        )
    return pool.withRank(request.profile.rank, next)
}

private fun withFloorsCharged(
    limits: QueueLimits,
    pool: PoolQueue,
    request: WaitingRequest,
): PoolQueue {
    val units = request.profile.estimate.units
    return Rank.entries.fold(pool) { changed, rank ->
        val queue = changed.rank(rank)
        val earned = earnedCredit(limits, rank, queue.length, queue.floorCredit, units)
        val paid = if (rank == request.profile.rank) max(0.0, earned - units) else earned
        changed.withRank(rank, queue.copy(floorCredit = paid))
    }
}

private fun earnedCredit(
    limits: QueueLimits,
    rank: Rank,
    length: Int,
    credit: Double,
    units: Double,
): Double {
    val floor = limits.floors[rank] ?: return 0.0
    return if (length == 0) 0.0 else credit + floor * units
}
