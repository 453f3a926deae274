package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.Rank

/** Queued requests for one pool, by rank. */
data class PoolQueue(
    val ranks: PersistentMap<Rank, RankQueue>,
) {
    val length: Int
        get() = ranks.values.sumOf { it.length }

    fun rank(rank: Rank): RankQueue = ranks[rank] ?: RankQueue.EMPTY

    fun withRank(
        rank: Rank,
        queue: RankQueue,
    ): PoolQueue = copy(ranks = ranks.put(rank, queue))

    companion object {
        val EMPTY = PoolQueue(persistentMapOf())
    }
}
