package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.Ticket

/** Waiting requests of one team in order of arrival; [virtualFinish] is the work served so far in fair-queue time. */
data class TeamQueue(
    val requests: PersistentMap<Ticket, WaitingRequest>,
    val virtualFinish: Double,
) {
    companion object {
        val EMPTY = TeamQueue(persistentMapOf(), virtualFinish = 0.0)
    }
}
