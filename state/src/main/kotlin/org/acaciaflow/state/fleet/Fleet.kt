package org.acaciaflow.state.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.PoolName

/**
 * The registered backend servers by instance name.
 *
 * A lifetime in [leaving] was seen draining and gets no new work, whatever later entries say. One in [lapsed] lost its
 * entry while the store was away and is still used. One in [rejected] answered that another instance has its address.
 */
data class Fleet(
    val entries: PersistentMap<String, BackendEntry>,
    val leaving: PersistentSet<BackendLife>,
    val lapsed: PersistentSet<BackendLife>,
    val rejected: PersistentSet<BackendLife>,
) {
    /** True when new work may be sent to [entry]. */
    fun usable(entry: BackendEntry): Boolean = !entry.draining && entry.life !in leaving && entry.life !in rejected

    /** The backend servers of [pool] that may get new work. */
    fun usableIn(pool: PoolName): List<BackendEntry> = entries.values.filter { it.pool == pool && usable(it) }

    companion object {
        val NONE = Fleet(persistentMapOf(), persistentSetOf(), persistentSetOf(), persistentSetOf())
    }
}
