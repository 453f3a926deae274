package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet

/** Applies store entries and observations to the set of known backend servers. */
object FleetChanges {
    /** Adds [entry] unless a later lifetime of the instance is known; a lifetime once seen draining stays draining. */
    fun registered(
        fleet: Fleet,
        entry: BackendEntry,
    ): Fleet {
        val known = fleet.entries[entry.life.instance]
        if (known != null && known.life.startedAtMilliseconds > entry.life.startedAtMilliseconds) return fleet
        val leaving = if (entry.draining) fleet.leaving.add(entry.life) else fleet.leaving
        return fleet.copy(
            entries = fleet.entries.put(entry.life.instance, entry),
            leaving = leaving,
            lapsed = if (known == null) fleet.lapsed else fleet.lapsed.remove(known.life),
        )
    }

    /** Removes the backend server [instance]. */
    fun removed(
        fleet: Fleet,
        instance: String,
    ): Fleet {
        val known = fleet.entries[instance] ?: return fleet
        return fleet.copy(entries = fleet.entries.remove(instance), lapsed = fleet.lapsed.remove(known.life))
    }

    /** Marks the entry of [instance] as lapsed; the backend server stays in use until [lapsedRemoved]. */
    fun lapsed(
        fleet: Fleet,
        instance: String,
    ): Fleet {
        val known = fleet.entries[instance] ?: return fleet
        return fleet.copy(lapsed = fleet.lapsed.add(known.life))
    }

    /** Removes the backend servers whose entries are still marked as lapsed. */
    fun lapsedRemoved(fleet: Fleet): Fleet = fleet.lapsed.fold(fleet) { rest, life -> removed(rest, life.instance) }

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
