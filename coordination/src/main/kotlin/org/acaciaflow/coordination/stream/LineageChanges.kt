package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.RevisionOrder
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.Lineage
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamBase
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock
import kotlin.time.Instant

/** Applies what the store says of the bases; a page may show an earlier revision than the watch. */
internal class LineageChanges(
    private val versions: SharedTable<PoolVersions>,
    private val clock: Clock,
) {
    fun written(
        pool: PoolName,
        base: PoolBase,
        revision: StoreRevision,
    ) = applyPool(pool, base, revision)

    fun written(
        host: String,
        base: HostBase,
        revision: StoreRevision,
    ) = applyHost(host, base, revision)

    /** The document can't be read, so that the base is unknown. */
    fun unreadable(
        pool: PoolName,
        revision: StoreRevision,
    ) = applyPool(pool, null, revision)

    /** The document can't be read, so that the base is unknown. */
    fun unreadable(
        host: String,
        revision: StoreRevision,
    ) = applyHost(host, null, revision)

    fun removed(
        pool: PoolName,
        revision: StoreRevision,
    ) {
        versions.update { it.copy(lineages = without(it.lineages, pool, revision)) }
    }

    fun removed(
        host: String,
        revision: StoreRevision,
    ) {
        versions.update { it.copy(hosts = without(it.hosts, host, revision)) }
    }

    /** Removes the lineages that are neither of [pools] nor of [hosts]. */
    fun absentExcept(
        pools: Set<PoolName>,
        hosts: Set<String>,
    ) {
        versions.update { known ->
            known.copy(lineages = among(known.lineages, pools), hosts = among(known.hosts, hosts))
        }
    }

    private fun applyPool(
        pool: PoolName,
        base: PoolBase?,
        revision: StoreRevision,
    ) {
        val now = clock.now()
        versions.update { it.copy(lineages = applied(it.lineages, pool, base, revision, now)) }
    }

    private fun applyHost(
        host: String,
        base: HostBase?,
        revision: StoreRevision,
    ) {
        val now = clock.now()
        versions.update { it.copy(hosts = applied(it.hosts, host, base, revision, now)) }
    }

    private fun <Key, Base : StreamBase> applied(
        known: PersistentMap<Key, Lineage<Base>>,
        key: Key,
        base: Base?,
        revision: StoreRevision,
        now: Instant,
    ): PersistentMap<Key, Lineage<Base>> {
        val former = known[key]
        val current =
            when {
                former == null -> Lineage(base, revision, now, outlastedReturn = false)
                revision == former.revision || isOlder(revision, former) -> former
                revision.era != former.revision.era ->
                    Lineage(base, revision, now, outlastedReturn = base == former.base && held(former))
                else -> Lineage(base, revision, now, former.outlastedReturn && base == former.base)
            }
        return known.put(key, current)
    }

    private fun <Key, Base : StreamBase> without(
        known: PersistentMap<Key, Lineage<Base>>,
        key: Key,
        revision: StoreRevision,
    ): PersistentMap<Key, Lineage<Base>> {
        val lineage = known[key]
        return if (lineage == null || isOlder(revision, lineage)) known else known.remove(key)
    }

    private fun <Key, Base : StreamBase> among(
        known: PersistentMap<Key, Lineage<Base>>,
        present: Set<Key>,
    ): PersistentMap<Key, Lineage<Base>> = (known.keys - present).fold(known) { rest, key -> rest.remove(key) }

    /** True unless [lineage] is of a copy whose base was another one before the store returned. */
    private fun held(lineage: Lineage<*>): Boolean =
        lineage.outlastedReturn || lineage.base?.era == lineage.revision.era

    private fun isOlder(
        revision: StoreRevision,
        lineage: Lineage<*>,
    ): Boolean = revision.orderTo(lineage.revision) == RevisionOrder.EARLIER
}
