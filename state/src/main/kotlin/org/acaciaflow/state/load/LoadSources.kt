package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress

/**
 * What other gateways have sent of their loads.
 *
 * [gateways] holds each gateway's own loads from its periodic report. [members] holds the frequent shares of gateways
 * that use this one as their aggregator, [dataCentres] the sums from the aggregators of other data centres. [others] is
 * the sum over all other gateways from this gateway's aggregator; null if it has sent none.
 */
data class LoadSources(
    val gateways: PersistentMap<HostAddress, LoadSource>,
    val members: PersistentMap<HostAddress, LoadSource>,
    val dataCentres: PersistentMap<DataCentre, DataCentreSum>,
    val others: LoadSource?,
) {
    companion object {
        val NONE = LoadSources(persistentMapOf(), persistentMapOf(), persistentMapOf(), others = null)
    }
}

/** The sum of the loads of a data centre's gateways, as sent by its [aggregator]. */
data class DataCentreSum(
    val aggregator: HostAddress,
    val source: LoadSource,
)
