package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Instant

/**
 * The gateway that this one sends its loads to.
 *
 * [excluded] holds gateways that did not respond, with the time until which they are not chosen again.
 */
data class AggregatorChoice(
    val address: HostAddress?,
    val chosenAt: Instant,
    val excluded: PersistentMap<HostAddress, Instant>,
) {
    companion object {
        val NONE = AggregatorChoice(address = null, Instant.DISTANT_PAST, persistentMapOf())
    }
}
