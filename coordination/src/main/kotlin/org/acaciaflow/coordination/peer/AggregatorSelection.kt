package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

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

    /**
     * Returns the choice of the gateway [self] of [dataCentre] at [now], given its [former] one.
     *
     * [heardAt] is when an aggregator last responded. One that does not respond for [RESPONSE_TIMEOUT] is excluded for
     * [EXCLUSION_PERIOD].
     */
    fun choose(
        former: AggregatorChoice,
        self: HostAddress,
        dataCentre: DataCentre,
        gateways: Collection<Peer>,
        heardAt: Instant,
        now: Instant,
    ): AggregatorChoice {
        val address = former.address
        val silent = address != null && address != self && now - maxOf(heardAt, former.chosenAt) > RESPONSE_TIMEOUT
        val still = former.excluded.filterValues { it > now }.toPersistentMap()
        val excluded = if (silent) still.put(address, now + EXCLUSION_PERIOD) else still
        val chosen = aggregatorOf(dataCentre, gateways, excluded.keys) ?: self
        return AggregatorChoice(chosen, if (chosen == address) former.chosenAt else now, excluded)
    }

    private val RESPONSE_TIMEOUT: Duration = 600.milliseconds
    private val EXCLUSION_PERIOD: Duration = 3.seconds // an aggregator that returns is selected again afterwards
}
