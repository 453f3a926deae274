package org.acaciaflow.coordination.load

import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.BackendLoad
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.load.OutstandingJob
import kotlin.time.Duration
import kotlin.time.Instant

/** Tracks the outstanding work of this gateway at each backend server. */
object LoadLedger {
    /** Adds a job sent at [now]; [work] is the predicted time to its first result, [tokens] the memory it may use. */
    fun sent(
        load: FleetLoad,
        life: BackendLife,
        job: JobIdentity,
        work: Duration,
        tokens: Int,
        now: Instant,
    ): FleetLoad {
        val added = OutstandingJob(work, tokens, now, firstResultAt = null)
        return changed(load, life) { it.copy(jobs = it.jobs.put(job, added)) }
    }

    /** Marks a job as producing and records that data of its stream arrived at [now]. */
    fun producing(
        load: FleetLoad,
        life: BackendLife,
        job: JobIdentity,
        now: Instant,
    ): FleetLoad =
        changed(load, life) { backend ->
            val known = backend.jobs[job] ?: return@changed backend
            backend.copy(
                jobs = backend.jobs.put(job, known.copy(firstResultAt = known.firstResultAt ?: now)),
                lastResultAt = if (known.producing) backend.lastResultAt else now,
                lastReceivedAt = now,
            )
        }

    /** Removes a job that ended at [now], whatever its outcome. */
    fun ended(
        load: FleetLoad,
        life: BackendLife,
        job: JobIdentity,
        now: Instant,
    ): FleetLoad {
        val backend = load.own[life] ?: return load
        val known = backend.jobs[job] ?: return load
        val finishedAt = if (known.producing) backend.lastResultAt else now
        val rest = backend.copy(jobs = backend.jobs.remove(job), lastResultAt = finishedAt)
        return load.copy(own = load.own.put(life, rest))
    }

    /** Removes servers that are idle and no longer known to [isKnown], and the suspicions that expired by [now]. */
    fun pruned(
        load: FleetLoad,
        now: Instant,
        isKnown: (BackendLife) -> Boolean,
    ): FleetLoad {
        val suspected = load.suspected.filterValues { it > now }
        val gone = load.own.filter { (life, backend) -> backend.jobs.isEmpty() && !isKnown(life) }.keys
        return load.copy(
            own = gone.fold(load.own) { rest, life -> rest.remove(life) },
            suspected = if (suspected.size == load.suspected.size) load.suspected else suspected.toPersistentMap(),
        )
    }

    private fun changed(
        load: FleetLoad,
        life: BackendLife,
        change: (BackendLoad) -> BackendLoad,
    ): FleetLoad = load.copy(own = load.own.put(life, change(load.ownAt(life))))
}
