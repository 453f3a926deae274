package org.acaciaflow.state.peer

import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Instant

/**
 * Another gateway, as described by its latest report.
 *
 * [startedAtMilliseconds] and [lastSequence] identify that report; [lastReportAt] is when it arrived, by the local
 * clock. A [stopping] gateway takes no new requests but may still run some.
 */
data class Peer(
    val address: HostAddress,
    val startedAtMilliseconds: Long,
    val lastSequence: Long,
    val lastReportAt: Instant,
    val configurationVersion: Long,
    val dataCentre: DataCentre,
    val capacity: Double,
    val stopping: Boolean,
)
