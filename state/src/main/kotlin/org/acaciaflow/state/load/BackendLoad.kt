package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * This gateway's own work at one backend server.
 *
 * [lastFinishedAt] is when a job last got its first result, [lastHeardAt] when any byte last came from the server.
 */
data class BackendLoad(
    val jobs: PersistentMap<JobIdentity, OutstandingJob>,
    val lastFinishedAt: Instant,
    val lastHeardAt: Instant,
) {
    /** Engine memory that the sent work may come to hold, in tokens. */
    val tokens: Long
        get() = jobs.values.sumOf { it.tokens.toLong() }

    /** Predicted time as of [now] until all sent work has its first result, when served in the order of sending. */
    fun backlog(now: Instant): Duration {
        val waitingJobs = jobs.values.filter { !it.producing }
        val oldest = waitingJobs.minByOrNull { it.sentAt } ?: return Duration.ZERO
        val startedAt = maxOf(oldest.sentAt, lastFinishedAt)
        val progress = (now - startedAt).coerceIn(Duration.ZERO, oldest.work)
        return waitingJobs.fold(Duration.ZERO) { sum, job -> sum + job.work } - progress
    }

    /** How long as of [now] the server has said nothing although a stream that it produces should be heard. */
    fun silence(now: Instant): Duration {
        val streams = jobs.values.filter { it.producing }
        if (streams.isEmpty()) return Duration.ZERO
        val latest = maxOf(lastHeardAt, streams.maxOf { it.sentAt })
        return (now - latest).coerceAtLeast(Duration.ZERO)
    }

    companion object {
        val IDLE = BackendLoad(persistentMapOf(), Instant.DISTANT_PAST, Instant.DISTANT_PAST)
    }
}
