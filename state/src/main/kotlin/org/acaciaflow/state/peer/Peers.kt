package org.acaciaflow.state.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.HostAddress

/** The other gateways: those [registered] in the store or named by settings, and those [heard] directly. */
data class Peers(
    val registered: PersistentSet<HostAddress>,
    val heard: PersistentMap<HostAddress, Peer>,
) {
    companion object {
        val NONE = Peers(persistentSetOf(), persistentMapOf())
    }
}
