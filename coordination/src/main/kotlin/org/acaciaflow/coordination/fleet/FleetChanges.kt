package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.store.RevisionOrder
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Instant

/** Applies store entries and observations to the set of known backend servers. */
object FleetChanges {
    /**
     * Adds [entry] as written at the store's [revision], unless a later write of the instance is known.
     *
     * The store orders the writes; the start time in an entry comes from its writer's clock and only tells lifetimes
     * apart. A lifetime once seen draining stays draining.
     */
    fun registered(
        fleet: Fleet,
        entry: BackendEntry,
        revision: StoreRevision,
    ): Fleet {
        val instance = entry.life.instance
        val leaving = if (entry.draining) fleet.leaving.add(entry.life) else fleet.leaving
        if (isOlder(fleet, instance, revision)) return fleet.copy(leaving = leaving)
        val known = fleet.entries[instance]
        return fleet.copy(
            entries = fleet.entries.put(instance, entry),
            revisions = fleet.revisions.put(instance, revision),
            leaving = leaving,
            lapsed = if (known == null) fleet.lapsed else fleet.lapsed.remove(known.life),
            gone = fleet.gone.remove(entry.life),
        )
    }

    /** Removes the backend server [instance], whose entry as written at [revision] can't be decoded. */
    fun unreadable(
        fleet: Fleet,
        instance: String,
        revision: StoreRevision,
    ): Fleet {
        if (isOlder(fleet, instance, revision)) return fleet
        val rest = removed(fleet, instance)
        return rest.copy(revisions = rest.revisions.put(instance, revision))
    }

    /** True if the entry of [instance] as written at [revision] has been applied and is not marked as lapsed. */
    fun isApplied(
        fleet: Fleet,
        instance: String,
        revision: StoreRevision,
    ): Boolean {
        val life = fleet.entries[instance]?.life
        return fleet.revisions[instance] == revision && (life == null || life !in fleet.lapsed)
    }

    /** True if the entry of [instance] was written after [revision]. */
    fun isOlder(
        fleet: Fleet,
        instance: String,
        revision: StoreRevision,
    ): Boolean = revision.orderTo(fleet.revisions[instance] ?: return false) == RevisionOrder.EARLIER

    /**
     * Forgets the order of all writes if one of them is later than [revision], at which the store is now.
     *
     * A store whose revision went back, for example since it was restored, numbers its writes anew.
     */
    fun reorderedFor(
        fleet: Fleet,
        revision: StoreRevision,
    ): Fleet =
        if (fleet.revisions.values.any { it.orderTo(revision) == RevisionOrder.LATER }) {
            fleet.copy(revisions = fleet.revisions.clear())
        } else {
            fleet
        }

    /** Removes the backend server [instance]. */
    fun removed(
        fleet: Fleet,
        instance: String,
    ): Fleet {
        val known = fleet.entries[instance]
        return fleet.copy(
            entries = fleet.entries.remove(instance),
            revisions = fleet.revisions.remove(instance),
            lapsed = if (known == null) fleet.lapsed else fleet.lapsed.remove(known.life),
        )
    }

    /** Marks the entry of [instance] as lapsed at [now]; the backend server stays in use until [lapsedRemoved]. */
    fun lapsed(
        fleet: Fleet,
        instance: String,
        now: Instant,
    ): Fleet {
        val known = fleet.entries[instance] ?: return fleet
        if (known.life in fleet.lapsed) return fleet
        return fleet.copy(lapsed = fleet.lapsed.put(known.life, now))
    }

    /** Removes the backend servers whose entries lapsed at [latest] or before, and remembers them as gone. */
    fun lapsedRemoved(
        fleet: Fleet,
        latest: Instant,
        now: Instant,
    ): Fleet =
        fleet.lapsed
            .filterValues { it <= latest }
            .keys
            .fold(fleet) { rest, life -> GoneLives.removed(rest, life.instance, lastWrite = null, now) }

    /** Marks [life] as leaving, whether this gateway or a peer observed it. */
    fun leaving(
        fleet: Fleet,
        life: BackendLife,
    ): Fleet = if (life in fleet.leaving) fleet else fleet.copy(leaving = fleet.leaving.add(life))

    /** Marks [life] as rejected because another instance answered at its address. */
    fun rejected(
        fleet: Fleet,
        life: BackendLife,
    ): Fleet = fleet.copy(rejected = fleet.rejected.add(life))
}
