package org.acaciaflow.state.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.HostAddress

/**
 * The other gateways.
 *
 * [registered] holds those with an entry in the store, [live] those that have sent a report recently.
 */
data class Peers(
    val registered: PersistentSet<HostAddress>,
    val live: PersistentMap<HostAddress, Peer>,
) {
    companion object {
        val NONE = Peers(persistentSetOf(), persistentMapOf())
    }
}
