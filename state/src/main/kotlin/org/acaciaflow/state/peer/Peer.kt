package org.acaciaflow.state.peer

import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Instant

/** Another gateway: the process life that was last heard of at [address], and when. */
data class Peer(
    val address: HostAddress,
    val startedAtMilliseconds: Long,
    val lastSequence: Long,
    val heardAt: Instant,
    val configurationVersion: Long,
)
