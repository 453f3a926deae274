package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * This gateway's load at one backend server.
 *
 * [lastResultAt] is when a job was last seen producing output or ended without any; [lastReceivedAt] is when stream
 * data from the server was last recorded, which lags behind the last byte.
 */
data class BackendLoad(
    val jobs: PersistentMap<JobIdentity, OutstandingJob>,
    val lastResultAt: Instant,
    val lastReceivedAt: Instant,
) {
    /** Engine memory, in tokens, that the jobs in flight may occupy. */
    val tokens: Long
        get() = jobs.values.sumOf { it.tokens.toLong() }

    /** The number of jobs without a first result. */
    val waitingJobs: Int
        get() = jobs.values.count { !it.producing }

    /** The predicted processing time of the jobs without a first result, with no progress taken off. */
    val waitingWork: Duration
        get() = jobs.values.fold(Duration.ZERO) { sum, job -> if (job.producing) sum else sum + job.work }

    /** Predicted time from [now] until all jobs have produced their first result, if served in the order sent. */
    fun backlog(now: Instant): Duration {
        val waitingJobs = jobs.values.filter { !it.producing }
        val oldest = waitingJobs.minByOrNull { it.sentAt } ?: return Duration.ZERO
        val startedAt = maxOf(oldest.sentAt, lastResultAt)
        val progress = (now - startedAt).coerceIn(Duration.ZERO, oldest.work)
        return waitingJobs.fold(Duration.ZERO) { sum, job -> sum + job.work } - progress
    }

    /** Time up to [now] without data from the server although it is producing streams; zero if it produces none. */
    fun silence(now: Instant): Duration {
        val streams = jobs.values.filter { it.producing }
        if (streams.isEmpty()) return Duration.ZERO
        val latest = maxOf(lastReceivedAt, streams.maxOf { it.sentAt })
        return (now - latest).coerceAtLeast(Duration.ZERO)
    }

    companion object {
        val IDLE = BackendLoad(persistentMapOf(), Instant.DISTANT_PAST, Instant.DISTANT_PAST)
    }
}
