package org.acaciaflow.state.peer

import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Instant

/**
 * Another gateway, as described by its latest report.
 *
 * [startedAtMilliseconds] and [lastSequence] identify that report; [lastReportAt] is when it arrived, by the local
 * clock.
 */
data class Peer(
    val address: HostAddress,
    val startedAtMilliseconds: Long,
    val lastSequence: Long,
    val lastReportAt: Instant,
    val configurationVersion: Long,
)
