package org.acaciaflow.coordination.plain

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.coordination.engine.UnseenWork
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.reliability.ReliabilityRecord
import kotlin.random.Random
import kotlin.time.Instant

/** Selects the backend server of a plain service for a call. */
object PlainSelection {
    /**
     * Returns the candidate with the lowest share of busy slots, or null when there is none.
     *
     * A share of failures above the mean and a remote data centre add to the share of busy slots.
     */
    fun choose(
        candidates: List<BackendEntry>,
        load: FleetLoad,
        reliability: PersistentMap<BackendLife, ReliabilityRecord>,
        ownDataCentre: DataCentre,
        now: Instant,
        random: Random,
    ): BackendEntry? {
        val meanFailureShare = ReliabilityPolicy.meanFailureShare(reliability, candidates.map { it.life })
        return candidates.minByOrNull { candidate ->
            val running = load.runningAt(candidate.life) + UnseenWork.drawRequests(load, now, random)
            val busy = running / candidate.slots.coerceAtLeast(1)
            val excessFailureShare = ReliabilityPolicy.excessFailureShare(reliability[candidate.life], meanFailureShare)
            val remote = if (candidate.dataCentre == ownDataCentre) 0.0 else REMOTE_COST
            busy + excessFailureShare * UNRELIABLE_COST + remote
        }
    }

    private const val REMOTE_COST = 0.2 // as a share of busy slots
    private const val UNRELIABLE_COST = 3.0
}
