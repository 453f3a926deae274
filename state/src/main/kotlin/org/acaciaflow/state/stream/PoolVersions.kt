package org.acaciaflow.state.stream

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreEra
import kotlin.time.Instant

/**
 * What a gateway knows of the software versions of each pool.
 *
 * [lineages] has the bases of pools, and [hosts] those of hosts, which say where streams without a record began.
 * [sightings] has when a server of each version was last registered. They are complete since [observedSince], null while
 * the knowledge of the store is stale. The store was last seen in [era]; it returned from an older copy at [returnedAt].
 * The pools in [mixed] have servers of more than one version.
 */
data class PoolVersions(
    val lineages: PersistentMap<PoolName, Lineage<PoolBase>>,
    val hosts: PersistentMap<String, Lineage<HostBase>>,
    val sightings: PersistentMap<PoolName, PersistentMap<SoftwareVersion, Instant>>,
    val observedSince: Instant?,
    val era: StoreEra?,
    val returnedAt: Instant?,
    val mixed: PersistentSet<PoolName>,
) {
    companion object {
        val NONE =
            PoolVersions(
                lineages = persistentMapOf(),
                hosts = persistentMapOf(),
                sightings = persistentMapOf(),
                observedSince = null,
                era = null,
                returnedAt = null,
                mixed = persistentSetOf(),
            )
    }
}
