package org.acaciaflow.coordination.peer

import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peer

/**
 * Selects the gateway that sums up the loads of its data centre.
 *
 * Gateways select it independently from what they know of each other. While they disagree, several gateways sum up for
 * those that chose them, which costs messages and accuracy but nothing else.
 */
object AggregatorSelection {
    /** Returns the serving gateway of [dataCentre] with the largest capacity that is not [excluded]; null if none. */
    fun aggregatorOf(
        dataCentre: DataCentre,
        gateways: Collection<Peer>,
        excluded: Set<HostAddress>,
    ): HostAddress? =
        gateways
            .filter { it.dataCentre == dataCentre && !it.stopping && it.address !in excluded }
            .maxWithOrNull(compareBy<Peer> { it.capacity }.thenByDescending { it.address.toString() })
            ?.address
}
