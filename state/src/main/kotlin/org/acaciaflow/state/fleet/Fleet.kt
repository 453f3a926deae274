package org.acaciaflow.state.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Instant

/**
 * The registered backend servers, by instance name.
 *
 * A server in [leaving] was seen draining and gets no new work, whatever its later entries say. A server in [lapsed]
 * lost its entry at that time, during a store outage, and stays in use. For a server in [rejected], another instance
 * responded at its address. [revisions] has the store's revision of each entry, by instance name. The lifetimes in [gone]
 * were removed lately. [eraRead] is where the entries were first read in the store's present era.
 */
data class Fleet(
    val entries: PersistentMap<String, BackendEntry>,
    val revisions: PersistentMap<String, StoreRevision>,
    val leaving: PersistentSet<BackendLife>,
    val lapsed: PersistentMap<BackendLife, Instant>,
    val rejected: PersistentSet<BackendLife>,
    val gone: PersistentMap<BackendLife, GoneLife>,
    val eraRead: StoreRevision,
) {
    /** True if new work may be sent to [entry]. */
    fun usable(entry: BackendEntry): Boolean = !entry.draining && entry.life !in leaving && entry.life !in rejected

    /** The backend servers of [pool] to which new work may be sent. */
    fun usableIn(pool: PoolName): List<BackendEntry> = entries.values.filter { it.pool == pool && usable(it) }

    /** The lifetimes of the registered servers by the code that stands for them in messages between gateways. */
    fun livesByCode(): Map<Int, BackendLife> = entries.values.associate { it.life.code to it.life }

    companion object {
        val NONE =
            Fleet(
                entries = persistentMapOf(),
                revisions = persistentMapOf(),
                leaving = persistentSetOf(),
                lapsed = persistentMapOf(),
                rejected = persistentSetOf(),
                gone = persistentMapOf(),
                eraRead = StoreRevision.NONE,
            )
    }
}
