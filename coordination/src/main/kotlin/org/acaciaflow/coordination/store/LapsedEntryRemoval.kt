package org.acaciaflow.coordination.store

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.fleet.GoneLives
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Removes the servers whose entries have lapsed for so long that they are taken as gone. */
class LapsedEntryRemoval(
    private val fleet: SharedTable<Fleet>,
    private val knowledge: SharedTable<StoreKnowledge>,
    private val clock: Clock,
) {
    /** Removes servers when they are due, until cancelled. */
    suspend fun run() {
        while (true) {
            delay(INTERVAL)
            removeDue(clock.now())
        }
    }

    /** Removes the servers that are due at [now], and forgets those that were removed long ago. */
    fun removeDue(now: Instant) {
        val latest = StoreFreshness.latestCertainLapse(knowledge.snapshot(), now)
        val known = fleet.snapshot()
        if (latest != null && known.lapsed.isNotEmpty()) fleet.update { FleetChanges.lapsedRemoved(it, latest, now) }
        if (known.gone.isNotEmpty()) fleet.update { GoneLives.forgotten(it, now) }
    }

    private companion object {
        val INTERVAL: Duration = 50.milliseconds // adds to the doubt, and both must end within the drain time
    }
}
