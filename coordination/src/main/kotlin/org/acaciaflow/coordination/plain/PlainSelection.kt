package org.acaciaflow.coordination.plain

import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.coordination.engine.UnseenWork
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.fleet.BackendEntry
import kotlin.random.Random
import kotlin.time.Instant

/** Selects the backend server of a plain service for a call. */
object PlainSelection {
    /**
     * Returns the candidate with the lowest share of busy slots, or null when there is none.
     *
     * A share of failures above the mean and a remote data centre add to the share of busy slots. Isolated candidates are
     * set aside while a sound one has room.
     */
    fun choose(
        candidates: List<BackendEntry>,
        view: PlainView,
        now: Instant,
        random: Random,
    ): PlainChoice? {
        val rated = candidates.map { RatedServer(it, busyShare(it, view, now, random)) }
        val preferred = preferred(rated, view, now, random)
        val meanFailureShare = ReliabilityPolicy.meanFailureShare(view.reliability, candidates.map { it.life })
        val chosen = preferred.servers.minByOrNull { cost(it, view, meanFailureShare) } ?: return null
        return PlainChoice(chosen.entry, preferred.setAside)
    }

    /**
     * Returns the sound servers with room, if another one is isolated; all servers if no sound one has room.
     *
     * A sound server counts as without room while its share of failures exceeds that of the isolated servers by so much
     * that wrong answers are the lesser harm. It is tried now and then, since only calls show that it has recovered.
     */
    private fun preferred(
        servers: List<RatedServer>,
        view: PlainView,
        now: Instant,
        random: Random,
    ): Preferred {
        val (isolated, sound) =
            servers.partition { ConnectionIsolation.isIsolated(view.surplus, it.entry.life, now) }
        if (isolated.isEmpty()) return Preferred(servers, setAside = 0)
        val isolatedFailureShare = ReliabilityPolicy.meanFailureShare(view.reliability, isolated.map { it.entry.life })
        val isTrial = random.nextDouble() < TRIAL_SHARE
        val withRoom =
            sound.filter {
                it.busyShare < ROOM_SHARE && (isTrial || excess(it, view, isolatedFailureShare) <= FAILURE_LIMIT)
            }
        return if (withRoom.isEmpty()) Preferred(servers, setAside = 0) else Preferred(withRoom, isolated.size)
    }

    private fun cost(
        server: RatedServer,
        view: PlainView,
        meanFailureShare: Double,
    ): Double {
        val remote = if (server.entry.dataCentre == view.ownDataCentre) 0.0 else REMOTE_COST
        return server.busyShare + excess(server, view, meanFailureShare) * UNRELIABLE_COST + remote
    }

    private fun excess(
        server: RatedServer,
        view: PlainView,
        failureShare: Double,
    ): Double = ReliabilityPolicy.excessFailureShare(view.reliability[server.entry.life], failureShare)

    private fun busyShare(
        entry: BackendEntry,
        view: PlainView,
        now: Instant,
        random: Random,
    ): Double {
        val running = view.load.runningAt(entry.life) + UnseenWork.drawRequests(view.load, now, random)
        return running / entry.slots.coerceAtLeast(1)
    }

    private data class RatedServer(
        val entry: BackendEntry,
        val busyShare: Double,
    )

    /** The [servers] to select from; [setAside] others were left out because they are isolated. */
    private data class Preferred(
        val servers: List<RatedServer>,
        val setAside: Int,
    )

    private const val REMOTE_COST = 0.2 // as a share of busy slots
    private const val UNRELIABLE_COST = 3.0

    /** A server with less than this share of its slots busy has room; the others may be taken before it is known here. */
    private const val ROOM_SHARE = 0.75

    /** The share of failures, above that of the isolated servers, up to which a sound server is preferred to them. */
    private const val FAILURE_LIMIT = 0.5

    /** The share of calls for which sound servers are preferred whatever their share of failures. */
    private const val TRIAL_SHARE = 0.05
}
