package org.acaciaflow.protocol.settings

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.coordination.connection.AnswerHold
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Duration

/**
 * Settings of a gateway that calls backend servers directly.
 *
 * [readiness] is the address of the readiness probe. [peers] is the address that receives reports from other gateways,
 * [seeds] are the corresponding addresses of some of them. [metrics] is the address that serves metrics. [gracePeriod]
 * is the time from the stop signal until the process is killed. [cores] is the number of processor cores that the
 * process may use. A plain success of a server that answers twice is held for at most [answerHold].
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
    val cores: Double,
    val answerHold: Duration = AnswerHold.DEFAULT_LONGEST,
)
