package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Load of the backend servers.
 *
 * [own] is this gateway's current load, [remote] the load that each other gateway last reported. [suspected] holds the
 * servers that another gateway reported as unreachable or silent, with the time at which that suspicion expires.
 */
data class FleetLoad(
    val own: PersistentMap<BackendLife, BackendLoad>,
    val remote: PersistentMap<HostAddress, PersistentMap<BackendLife, RemoteLoad>>,
    val suspected: PersistentMap<BackendLife, Instant>,
) {
    /** This gateway's load at [life]. */
    fun ownAt(life: BackendLife): BackendLoad = own[life] ?: BackendLoad.IDLE

    /** Predicted time from [now] until all known jobs at [life] have produced their first result. */
    fun backlogAt(
        life: BackendLife,
        now: Instant,
    ): Duration =
        remote.values.fold(ownAt(life).backlog(now)) { sum, loads ->
            sum + (loads[life]?.remainingBacklog(now) ?: Duration.ZERO)
        }

    /** Requests in flight at [life], including those that other gateways last reported. */
    fun runningAt(life: BackendLife): Int =
        remote.values.fold(ownAt(life).jobs.size) { sum, loads -> sum + (loads[life]?.running ?: 0) }

    /**
     * Engine memory, in tokens, that the known jobs at [life] may occupy.
     *
     * An upper bound: prompt parts that jobs share are counted once for each job.
     */
    fun tokensAt(life: BackendLife): Long =
        remote.values.fold(ownAt(life).tokens) { sum, loads -> sum + (loads[life]?.tokens ?: 0) }

    companion object {
        val NONE = FleetLoad(persistentMapOf(), persistentMapOf(), persistentMapOf())
    }
}
