package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.crash.CrashRecorder
import org.acaciaflow.state.crash.CrashRecord
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedCrash
import org.acaciaflow.state.peer.ReportedServed
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Selects what a report says of crashes, and applies what the reports of peers say. */
internal class CrashGossip(
    private val crashes: SharedTable<CrashReports>,
    private val recorder: CrashRecorder,
) {
    /**
     * Returns the crashes to report at [now]: recent ones, and those behind every quarantine.
     *
     * A quarantine is reported as long as it lasts, since a gateway that has just started knows of none.
     */
    fun reportedCrashes(now: Instant): PersistentList<ReportedCrash> {
        val reports = crashes.snapshot()
        val (quarantined, others) = reports.bySubject.entries.partition { isQuarantined(reports, it.key, now) }
        val lasting = quarantined.flatMap { (subject, record) -> reported(subject, record, now) }
        val recent = others.flatMap { (subject, record) -> reported(subject, record, now) }.filter(::isRecent)
        return (lasting + recent).take(MAXIMUM_ENTRIES).toPersistentList()
    }

    /** Returns the subjects of recent crashes that were served since, as of [now], and suspected parts served before. */
    fun reportedServed(now: Instant): PersistentList<ReportedServed> {
        val reports = crashes.snapshot()
        val servedSince =
            reports.bySubject
                .filterValues { CrashQuarantine.isServingNews(it, now) }
                .map { (subject, record) -> ReportedServed(subject, now - record.servedAt) }
        val servedBefore =
            CrashQuarantine
                .suspectsServedBefore(
                    reports,
                ).map { ReportedServed(it, CrashQuarantine.QUARANTINE_LIFETIME) }
        return (servedBefore + servedSince).take(MAXIMUM_ENTRIES).toPersistentList()
    }

    /** Applies a report that arrived at [now]. */
    fun receive(
        report: PeerReport,
        now: Instant,
    ) {
        report.crashes.forEach { recorder.crashed(it.subject, it.lifeCode, now - it.age, now) }
        report.served.forEach { recorder.served(listOf(it.subject), now - it.age) }
    }

    private fun reported(
        subject: CrashSubject,
        record: CrashRecord,
        now: Instant,
    ): List<ReportedCrash> = record.unexplained.map { (lifeCode, at) -> ReportedCrash(subject, lifeCode, now - at) }

    private fun isRecent(crash: ReportedCrash): Boolean = crash.age < REPORT_PERIOD

    private fun isQuarantined(
        reports: CrashReports,
        subject: CrashSubject,
        now: Instant,
    ): Boolean = CrashQuarantine.quarantinedUntil(reports, listOf(subject), now) != null

    private companion object {
        const val MAXIMUM_ENTRIES = 64 // so that a report fits into one datagram
        val REPORT_PERIOD: Duration = 5.seconds
    }
}
