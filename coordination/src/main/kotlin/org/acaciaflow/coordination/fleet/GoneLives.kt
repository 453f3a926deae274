package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.fleet.GoneLife
import org.acaciaflow.state.store.RevisionOrder
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Remembers lifetimes that were removed, which a store that returns from an older copy may show again. */
object GoneLives {
    /** How long a lifetime is remembered; copies are some seconds old. */
    val MEMORY: Duration = 60.seconds

    /** Notes that the entries were read as of [revision]. */
    fun read(
        fleet: Fleet,
        revision: StoreRevision,
    ): Fleet = if (fleet.eraRead.era == revision.era) fleet else fleet.copy(eraRead = revision)

    /** Removes the backend server [instance], whose entry was written at [lastWrite] or before, and remembers it. */
    fun removed(
        fleet: Fleet,
        instance: String,
        lastWrite: StoreRevision?,
        now: Instant,
    ): Fleet = FleetChanges.removed(remembered(fleet, instance, lastWrite, now), instance)

    /** Remembers the lifetime of [instance] in [former] if [fleet] has none or another one. */
    fun replaced(
        former: Fleet,
        fleet: Fleet,
        instance: String,
        now: Instant,
    ): Fleet {
        val life = former.entries[instance]?.life
        if (life == null || fleet.entries[instance]?.life == life) return fleet
        val remembered = remembered(former, instance, lastWrite = null, now)
        return fleet.copy(gone = remembered.gone)
    }

    /**
     * True if the entry of [life] as written at [revision] may be of a copy from before its removal.
     *
     * What is written after the first read of an era is not of the copy, nor what has a higher number than its last write.
     */
    fun isOfCopy(
        fleet: Fleet,
        life: BackendLife,
        revision: StoreRevision,
    ): Boolean {
        val lastWrite = lastWriteOf(fleet, life) ?: return false
        return revision.orderTo(lastWrite) == RevisionOrder.OTHER_ERA &&
            revision.number <= lastWrite.number &&
            revision.isUpTo(fleet.eraRead)
    }

    /** Forgets the lifetimes that were removed longer than [MEMORY] before [now]. */
    fun forgotten(
        fleet: Fleet,
        now: Instant,
    ): Fleet {
        val old = fleet.gone.filterValues { now - it.at > MEMORY }.keys
        return if (old.isEmpty()) fleet else fleet.copy(gone = old.fold(fleet.gone) { rest, life -> rest.remove(life) })
    }

    private fun lastWriteOf(
        fleet: Fleet,
        life: BackendLife,
    ): StoreRevision? = if (life in fleet.lapsed) fleet.revisions[life.instance] else fleet.gone[life]?.lastWrite

    private fun remembered(
        fleet: Fleet,
        instance: String,
        lastWrite: StoreRevision?,
        now: Instant,
    ): Fleet {
        val life = fleet.entries[instance]?.life ?: return fleet
        val revision = lastWrite ?: fleet.revisions[instance] ?: return fleet
        return fleet.copy(gone = fleet.gone.put(life, GoneLife(revision, now)))
    }
}
