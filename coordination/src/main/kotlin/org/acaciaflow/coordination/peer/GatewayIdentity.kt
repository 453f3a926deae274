package org.acaciaflow.coordination.peer

import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress

/** What a gateway tells its peers of itself; [capacity] is the number of processor cores that it may use. */
data class GatewayIdentity(
    val address: HostAddress,
    val startedAtMilliseconds: Long,
    val dataCentre: DataCentre,
    val capacity: Double,
)
