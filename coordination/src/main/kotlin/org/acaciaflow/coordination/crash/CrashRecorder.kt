package org.acaciaflow.coordination.crash

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import kotlin.time.Instant

/**
 * Records crashes and served requests in the shared table, and reports subjects that come into quarantine.
 *
 * Attempts with such a subject are given up if it is likely to crash their servers too.
 */
internal class CrashRecorder(
    private val crashes: SharedTable<CrashReports>,
    private val startingAttempts: SharedTable<PersistentMap<JobIdentity, StartingAttempt>>,
    private val observations: Observations,
) {
    /** Records that [life] crashed at [now] while it started on a request with [subjects]. */
    fun crashed(
        subjects: List<CrashSubject>,
        life: BackendLife,
        now: Instant,
    ) = subjects.forEach { crashed(it, life.code, now, now) }

    /** Records that the life with the code [lifeCode] crashed at time [at] while it started on [subject]. */
    fun crashed(
        subject: CrashSubject,
        lifeCode: Int,
        at: Instant,
        now: Instant,
    ) {
        val becameQuarantined =
            crashes.transition { reports ->
                val next = CrashQuarantine.crashed(reports, subject, lifeCode, at)
                val wasQuarantined = isQuarantined(reports, subject, now)
                Transition(next, !wasQuarantined && isQuarantined(next, subject, now))
            }
        if (!becameQuarantined) return
        observations.event(Event.CrashSubjectQuarantined(subject))
        giveUpAttempts(subject, now)
    }

    private fun giveUpAttempts(
        subject: CrashSubject,
        now: Instant,
    ) {
        val reports = crashes.snapshot()
        startingAttempts
            .snapshot()
            .values
            .filter { subject in it.subjects && CrashQuarantine.holdsLikelyCause(reports, it.subjects, now) }
            .forEach { it.givenUp.complete(Unit) }
    }

    /** Records that a request with [subjects] was served completely at time [at]. */
    fun served(
        subjects: List<CrashSubject>,
        at: Instant,
    ) {
        val known = crashes.snapshot()
        val affected = subjects.filter { CrashQuarantine.isAffectedByServing(known, it) }
        if (affected.isEmpty()) return
        crashes.update { reports -> affected.fold(reports) { rest, next -> CrashQuarantine.served(rest, next, at) } }
    }

    private fun isQuarantined(
        reports: CrashReports,
        subject: CrashSubject,
        now: Instant,
    ): Boolean = CrashQuarantine.quarantinedUntil(reports, listOf(subject), now) != null
}
