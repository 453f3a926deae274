package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.stream.PoolVersions
import kotlin.time.Duration
import kotlin.time.Instant

/** Notes which software versions the servers of each pool have, and decides from it which may have begun streams. */
internal object VersionSightings {
    /** Notes the versions in [fleet] at [now]; sightings older than two [lifetime]s are removed. */
    fun observed(
        versions: PoolVersions,
        fleet: Fleet,
        knowledge: StoreKnowledge,
        lifetime: Duration,
        now: Instant,
    ): PoolVersions {
        val complete = knowledge.readAt != null && !StoreFreshness.isStale(knowledge, now)
        val present = versionsIn(fleet)
        val kept =
            versions.sightings
                .mapValues { (_, seen) -> seen.filterValues { now - it < lifetime * 2 }.toPersistentMap() }
                .filterValues { it.isNotEmpty() }
                .toPersistentMap()
        return versions.copy(
            sightings = present.entries.fold(kept) { rest, (pool, seen) -> withSightings(rest, pool, seen, now) },
            observedSince = if (complete) versions.observedSince ?: now else null,
            era = knowledge.era,
            returnedAt = if (hasReturned(versions, knowledge)) now else versions.returnedAt,
            mixed = present.filterValues { it.size > 1 }.keys.toPersistentSet(),
        )
    }

    /** The versions of [pool] of which a server was registered within a [lifetime], as far as this gateway has seen. */
    fun within(
        versions: PoolVersions,
        fleet: Fleet,
        pool: PoolName,
        lifetime: Duration,
        now: Instant,
    ): Set<SoftwareVersion> {
        val seen =
            versions.sightings[pool]
                .orEmpty()
                .filterValues { now - it < lifetime }
                .keys
        return seen +
            fleet.entries.values
                .filter { it.pool == pool }
                .map { it.software }
    }

    /** True if no version can have served within a [lifetime] without being seen. */
    fun areComplete(
        versions: PoolVersions,
        knowledge: StoreKnowledge,
        lifetime: Duration,
        now: Instant,
    ): Boolean {
        val since = versions.observedSince ?: return false
        return now - since >= lifetime && knowledge.failingSince == null && !StoreFreshness.isStale(knowledge, now)
    }

    /** The number of registered servers of each version, by pool. */
    fun versionsIn(fleet: Fleet): Map<PoolName, Map<SoftwareVersion, Int>> =
        fleet.entries.values
            .groupBy { it.pool }
            .mapValues { (_, entries) -> entries.groupingBy { it.software }.eachCount() }

    private fun withSightings(
        sightings: PersistentMap<PoolName, PersistentMap<SoftwareVersion, Instant>>,
        pool: PoolName,
        present: Map<SoftwareVersion, Int>,
        now: Instant,
    ): PersistentMap<PoolName, PersistentMap<SoftwareVersion, Instant>> {
        val known = sightings[pool] ?: persistentMapOf()
        return sightings.put(pool, present.keys.fold(known) { rest, version -> rest.put(version, now) })
    }

    private fun hasReturned(
        versions: PoolVersions,
        knowledge: StoreKnowledge,
    ): Boolean = versions.era != null && knowledge.era != versions.era
}
