package org.acaciaflow.coordination.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.Rank

/**
 * Limits of the waiting queue.
 *
 * [perRank] is the maximum number of waiting requests in one rank of one pool, [perTeam] the maximum from one team
 * among them. [floors] holds the minimum share of a pool's work, from 0 to 1, that a rank gets under load from more
 * urgent ranks.
 */
data class QueueLimits(
    val perRank: Int,
    val perTeam: Int,
    val floors: PersistentMap<Rank, Double>,
) {
    companion object {
        val DEFAULT =
            QueueLimits(
                perRank = 512,
                perTeam = 256,
                floors = persistentMapOf(Rank.STANDARD to 0.2, Rank.BACKGROUND to 0.05),
            )
    }
}
