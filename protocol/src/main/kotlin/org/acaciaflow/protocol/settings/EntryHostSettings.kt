package org.acaciaflow.protocol.settings

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Duration

/**
 * Settings of a gateway that calls backend servers directly.
 *
 * [readiness] is asked whether callers may be sent here. [peers] is where other gateways send to, [seeds] are some of
 * theirs. [metrics] is where meters are served. [gracePeriod] is the time from the signal to stop until the process is
 * killed.
 */
data class EntryHostSettings(
    val name: String,
    val callers: HostAddress,
    val readiness: HostAddress,
    val readinessPath: String,
    val peers: HostAddress,
    val metrics: HostAddress,
    val seeds: PersistentList<HostAddress>,
    val dataCentre: DataCentre,
    val store: HostAddress,
    val retryBounds: RetryBounds,
    val gracePeriod: Duration,
)
