package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Load of the backend servers.
 *
 * [own] is this gateway's current load. [remote] is the sum over all other gateways, derived from [sources]; it
 * describes the time [remoteMeasuredAt]. [suspected] holds the servers that another gateway reported as unreachable or
 * silent, with the time at which that suspicion expires.
 */
data class FleetLoad(
    val own: PersistentMap<BackendLife, BackendLoad>,
    val remote: PersistentMap<BackendLife, RemoteLoad>,
    val remoteMeasuredAt: Instant,
    val sources: LoadSources,
    val suspected: PersistentMap<BackendLife, Instant>,
) {
    /** This gateway's load at [life]. */
    fun ownAt(life: BackendLife): BackendLoad = own[life] ?: BackendLoad.IDLE

    /** Predicted time from [now] until all known jobs at [life] have produced their first result. */
    fun backlogAt(
        life: BackendLife,
        now: Instant,
    ): Duration {
        val others = remote[life] ?: RemoteLoad.NONE
        val own = ownAt(life)
        if (others.waiting == 0) return own.backlog(now)
        val work = own.waitingWork + others.work
        // Messages do not tell what is already done of the work; on average it is half of one job.
        val halfOfOneJob = work / (2 * (own.waitingJobs + others.waiting))
        return (work - halfOfOneJob - remoteAge(now)).coerceAtLeast(Duration.ZERO)
    }

    /** The number of known jobs at [life] without a first result. */
    fun waitingAt(life: BackendLife): Int = ownAt(life).waitingJobs + (remote[life]?.waiting ?: 0)

    /** Requests in flight at [life], including those of other gateways. */
    fun runningAt(life: BackendLife): Int = ownAt(life).jobs.size + (remote[life]?.running ?: 0)

    /**
     * Engine memory, in tokens, that the known jobs at [life] may occupy.
     *
     * An upper bound: prompt parts that jobs share are counted once for each job.
     */
    fun tokensAt(life: BackendLife): Long = ownAt(life).tokens + (remote[life]?.tokens ?: 0)

    /** The age at [now] of what is known of the other gateways' loads; zero if there is no other gateway. */
    fun remoteAge(now: Instant): Duration {
        if (remoteMeasuredAt == Instant.DISTANT_PAST) return Duration.ZERO
        return (now - remoteMeasuredAt).coerceAtLeast(Duration.ZERO)
    }

    companion object {
        val NONE =
            FleetLoad(
                own = persistentMapOf(),
                remote = persistentMapOf(),
                remoteMeasuredAt = Instant.DISTANT_PAST,
                sources = LoadSources.NONE,
                suspected = persistentMapOf(),
            )
    }
}
