package org.acaciaflow.state.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.HostAddress

/**
 * The other gateways.
 *
 * [registered] holds those with an entry in the store, [live] those that have sent a report recently, including those
 * that are stopping.
 */
data class Peers(
    val registered: PersistentSet<HostAddress>,
    val live: PersistentMap<HostAddress, Peer>,
) {
    /** The addresses of all other gateways, registered or live. */
    val known: Set<HostAddress>
        get() = registered + live.keys

    /** The number of other gateways that take requests, as far as known. */
    val servingCount: Int
        get() = known.count { live[it]?.stopping != true }

    companion object {
        val NONE = Peers(persistentSetOf(), persistentMapOf())
    }
}
