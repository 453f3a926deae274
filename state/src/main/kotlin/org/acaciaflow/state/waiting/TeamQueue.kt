package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.Ticket

/**
 * Queued requests of one team in order of arrival.
 *
 * [virtualFinish] is the virtual finish time of the team's last served request, in units of work.
 */
data class TeamQueue(
    val requests: PersistentMap<Ticket, WaitingRequest>,
    val virtualFinish: Double,
) {
    companion object {
        val EMPTY = TeamQueue(persistentMapOf(), virtualFinish = 0.0)
    }
}
