package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.TeamName

/**
 * Waiting requests of one rank.
 *
 * [virtualTime] is the fair-queue clock; [floorCredit] is work that this rank's floor still owes it.
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
