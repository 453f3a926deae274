package org.acaciaflow.coordination.queue

import org.acaciaflow.state.waiting.PoolQueue
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.work.Rank
import kotlin.math.max

/** In which order waiting requests of a pool are considered, and what serving one changes. */
sealed interface QueuePolicy {
    /** By rank, each with its floor, and fair among the teams of a rank. */
    data class RankedWithFloors(
        val limits: QueueLimits,
    ) : QueuePolicy

    /** In order of arrival, whatever the rank; a baseline for measurements. */
    data object FirstComeFirstServed : QueuePolicy
}

/** The first waiting request of each team, in the order in which [policy] would serve them. */
fun candidates(
    policy: QueuePolicy,
    pool: PoolQueue,
): List<WaitingRequest> =
    when (policy) {
        is QueuePolicy.RankedWithFloors -> rankOrder(pool).flatMap { teamHeads(pool, it) }
        QueuePolicy.FirstComeFirstServed -> Rank.entries.flatMap { teamHeads(pool, it) }.sortedBy { it.arrivedAt }
    }

/** The pool's queue after [request] was served: its team's fair-queue time and the ranks' floor credits move. */
fun charged(
    policy: QueuePolicy,
    pool: PoolQueue,
    request: WaitingRequest,
): PoolQueue =
    when (policy) {
        is QueuePolicy.RankedWithFloors -> chargedFloors(policy.limits, chargedTeam(pool, request), request)
        QueuePolicy.FirstComeFirstServed -> pool
    }

private fun rankOrder(pool: PoolQueue): List<Rank> {
    val waiting = Rank.entries.filter { pool.rank(it).length > 0 }
    val owed = waiting.filter { pool.rank(it).floorCredit >= headUnits(pool, it) }
    return owed + (waiting - owed.toSet())
}

private fun headUnits(
    pool: PoolQueue,
    rank: Rank,
): Double =
    teamHeads(pool, rank)
        .firstOrNull()
        ?.profile
        ?.estimate
        ?.units ?: Double.MAX_VALUE

private fun teamHeads(
    pool: PoolQueue,
    rank: Rank,
): List<WaitingRequest> =
    pool
        .rank(rank)
        .teams.values
        .filter { it.requests.isNotEmpty() }
        .sortedBy { it.virtualFinish }
        .map { it.requests.values.first() }

private fun chargedTeam(
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

private fun chargedFloors(
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
