package org.acaciaflow.coordination.load

import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.BackendLoad
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.load.OutstandingJob
import kotlin.time.Duration
import kotlin.time.Instant

/** Accounts for the work that this gateway sends to backend servers. */
object LoadLedger {
    /** Counts a job that is sent as of [now]; [work] is the predicted time to its first result. */
    fun sent(
        load: FleetLoad,
        life: BackendLife,
        job: JobIdentity,
        work: Duration,
        tokens: Int,
        now: Instant,
    ): FleetLoad =
        changed(load, life) { it.copy(jobs = it.jobs.put(job, OutstandingJob(work, tokens, now, producing = false))) }

    /** Notes the first result of a job that goes on producing. */
    fun producing(
        load: FleetLoad,
        life: BackendLife,
        job: JobIdentity,
        now: Instant,
    ): FleetLoad =
        changed(load, life) { backend ->
            val known = backend.jobs[job] ?: return@changed backend
            backend.copy(
                jobs = backend.jobs.put(job, known.copy(producing = true)),
                lastResultAt = now,
                lastReceivedAt = now,
            )
        }

    /** Forgets a job that has ended, whatever became of it. */
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

    /** Forgets, as of [now], servers without work that [isKnown] does not know any more, and outdated suspicions. */
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
