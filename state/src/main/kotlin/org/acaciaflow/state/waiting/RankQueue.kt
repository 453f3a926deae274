package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.TeamName

/**
 * Queued requests of one rank.
 *
 * [virtualTime] is the virtual clock of fair queueing between teams. [floorCredit] is the work, in units, still owed to
 * this rank by its guaranteed minimum share (its floor).
 */
data class RankQueue(
    val teams: PersistentMap<TeamName, TeamQueue>,
    val virtualTime: Double,
    val floorCredit: Double,
    val length: Int,
) {
    companion object {
        val EMPTY = RankQueue(persistentMapOf(), virtualTime = 0.0, floorCredit = 0.0, length = 0)
    }
}
