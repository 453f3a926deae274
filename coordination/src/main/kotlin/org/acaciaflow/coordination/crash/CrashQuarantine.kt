package org.acaciaflow.coordination.crash

import org.acaciaflow.state.crash.CrashRecord
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.crash.CrashSubject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Quarantines what several crashed backend servers were starting on, so that it doesn't crash further servers.
 *
 * A crash puts every request under suspicion that was starting at that server, and so do all their shared prompt parts.
 * What crashes servers is never served, so a subject that is served is clear of all crashes until then.
 */
object CrashQuarantine {
    /** Records that the life with the code [lifeCode] crashed at time [at] while it started on [subject]. */
    fun crashed(
        reports: CrashReports,
        subject: CrashSubject,
        lifeCode: Int,
        at: Instant,
    ): CrashReports {
        val record = reports.bySubject[subject] ?: CrashRecord.NONE
        // A crash that is known keeps its time, so that gateways do not renew it by telling each other.
        if (lifeCode in record.crashes) return reports
        return with(reports, subject, record.copy(crashes = record.crashes.put(lifeCode, at)))
    }

    /** Records that a request with [subject] was served completely at time [at]. */
    fun served(
        reports: CrashReports,
        subject: CrashSubject,
        at: Instant,
    ): CrashReports {
        val record = reports.bySubject[subject] ?: return reports
        return if (at <= record.servedAt) reports else with(reports, subject, record.copy(servedAt = at))
    }

    /** Returns when the quarantine of a request with [subjects] ends, or null if it is not in quarantine at [now]. */
    fun quarantinedUntil(
        reports: CrashReports,
        subjects: List<CrashSubject>,
        now: Instant,
    ): Instant? =
        subjects
            .mapNotNull { subject -> reports.bySubject[subject]?.let { quarantineEnd(subject, it) } }
            .filter { it > now }
            .maxOrNull()

    /** Removes the subjects that have no unexplained crash in living memory as of [now]. */
    fun pruned(
        reports: CrashReports,
        now: Instant,
    ): CrashReports {
        val expired = reports.bySubject.filter { (subject, record) -> isExpired(subject, record, now) }.keys
        if (expired.isEmpty()) return reports
        return CrashReports(expired.fold(reports.bySubject) { rest, subject -> rest.remove(subject) })
    }

    private fun quarantineEnd(
        subject: CrashSubject,
        record: CrashRecord,
    ): Instant? {
        val unexplained = record.unexplained
        return if (unexplained.size < crashLimit(subject)) null else unexplained.max() + QUARANTINE_PERIOD
    }

    private fun isExpired(
        subject: CrashSubject,
        record: CrashRecord,
        now: Instant,
    ): Boolean {
        val lifetime = if (quarantineEnd(subject, record) == null) SUSPICION_LIFETIME else QUARANTINE_LIFETIME
        return record.crashes.values.all { now - it >= lifetime }
    }

    private fun with(
        reports: CrashReports,
        subject: CrashSubject,
        record: CrashRecord,
    ): CrashReports = CrashReports(reports.bySubject.put(subject, record))

    private fun crashLimit(subject: CrashSubject): Int =
        when (subject) {
            is CrashSubject.Request -> REQUEST_CRASH_LIMIT
            is CrashSubject.Part -> PART_CRASH_LIMIT
        }

    private const val REQUEST_CRASH_LIMIT = 2 // so that no third server crashes on the same request
    private const val PART_CRASH_LIMIT = 3 // a sound part can be at two crashes that others cause
    private val QUARANTINE_PERIOD: Duration = 120.seconds // callers resend such a request within minutes
    private val SUSPICION_LIFETIME: Duration = 120.seconds
    private val QUARANTINE_LIFETIME: Duration = 10.minutes // meanwhile, one more crash renews the quarantine
}
