package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet

/** How the set of known backend servers follows what is told about it. */
object FleetChanges {
    /** Takes over [entry] unless a later lifetime of the instance is known; a lifetime seen draining stays so. */
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
            lapsed = fleet.lapsed.remove(entry.life),
        )
    }

    /** Forgets the backend server at [instance]. */
    fun removed(
        fleet: Fleet,
        instance: String,
    ): Fleet {
        val known = fleet.entries[instance] ?: return fleet
        return fleet.copy(entries = fleet.entries.remove(instance), lapsed = fleet.lapsed.remove(known.life))
    }

    /** Keeps the backend server at [instance] in use although its entry is missing, until [lapsesSettled]. */
    fun lapsed(
        fleet: Fleet,
        instance: String,
    ): Fleet {
        val known = fleet.entries[instance] ?: return fleet
        return fleet.copy(lapsed = fleet.lapsed.add(known.life))
    }

    /** Forgets the backend servers whose entries are still missing. */
    fun lapsesSettled(fleet: Fleet): Fleet = fleet.lapsed.fold(fleet) { rest, life -> removed(rest, life.instance) }

    /** Notes that [life] is leaving, whoever saw it. */
    fun leaving(
        fleet: Fleet,
        life: BackendLife,
    ): Fleet = if (life in fleet.leaving) fleet else fleet.copy(leaving = fleet.leaving.add(life))

    /** Notes that another instance answered at the address of [life]. */
    fun rejected(
        fleet: Fleet,
        life: BackendLife,
    ): Fleet = fleet.copy(rejected = fleet.rejected.add(life))
}
