package org.acaciaflow.coordination.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.Rank

/**
 * Bounds of the waiting queue.
 *
 * [perRank] requests may wait in one rank of one pool, [perTeam] of them from one team. [floors] is the share of a
 * pool's work that a rank keeps while more urgent work floods in.
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
