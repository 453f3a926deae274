package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentSet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.work.RequestProfile
import kotlin.time.Instant

/** A request queued for a backend server; [excluded] holds the servers at which it has already failed. */
data class WaitingRequest(
    val ticket: Ticket,
    val profile: RequestProfile,
    val arrivedAt: Instant,
    val excluded: PersistentSet<HostAddress>,
)
