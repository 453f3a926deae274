package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentSet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.work.RequestProfile
import kotlin.time.Instant

/** A request that waits for a backend server; [excluded] are servers that already failed it. */
data class WaitingRequest(
    val ticket: Ticket,
    val profile: RequestProfile,
    val arrivedAt: Instant,
    val excluded: PersistentSet<HostAddress>,
)
