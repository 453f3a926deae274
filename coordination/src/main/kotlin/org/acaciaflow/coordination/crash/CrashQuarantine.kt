package org.acaciaflow.coordination.crash

import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.crash.CrashRecord
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.crash.CrashTrials
import org.acaciaflow.state.crash.ServedParts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Quarantines what several crashed backend servers were starting on, so that it doesn't crash further servers.
 *
 * A crash puts every request under suspicion that was starting at that server, and so do all their shared prompt parts.
 * What crashes servers is never served, so a subject that is served is clear of all crashes until then, and a part that
 * was never served is the more likely cause. Crashes that such a part explains do not count against the others.
 *
 * A part that was served before has probably not caused the crashes that nothing else explains: the servers may have
 * failed for a reason of their own. So one request at a time tries it, until it is served or has crashed too many.
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
        return replaced(reports, subject, record.copy(crashes = record.crashes.put(lifeCode, at)))
    }

    /** Records that a request with [subject] was served completely at time [at]. */
    fun served(
        reports: CrashReports,
        subject: CrashSubject,
        at: Instant,
    ): CrashReports {
        val known = withServedPart(reports, subject)
        val record = known.bySubject[subject] ?: return known
        if (at <= record.servedAt) return known
        val served = record.copy(servedAt = at)
        // A peer also tells that a part was served before its crashes, which is no result of a trial.
        val trials = if (served.unexplained.isEmpty()) null else record.trials
        return replaced(known, subject, served.copy(trials = trials))
    }

    /** Returns true if [served] may change what [reports] say of [subject]. */
    fun isAffectedByServing(
        reports: CrashReports,
        subject: CrashSubject,
    ): Boolean {
        val isNewPart = subject is CrashSubject.Part && subject.key !in reports.servedParts.recent
        return isNewPart || subject in reports.bySubject
    }

    /** Returns when the quarantine of a request with [subjects] ends, or null if it is not in quarantine at [now]. */
    fun quarantinedUntil(
        reports: CrashReports,
        subjects: List<CrashSubject>,
        now: Instant,
    ): Instant? =
        subjects
            .mapNotNull { quarantineEnd(reports, it, subjects) }
            .filter { it > now }
            .maxOrNull()

    /**
     * Returns whether the request [requestId] with [subjects] may be sent at [now].
     *
     * Only one gateway tries parts, so that the number of trials is bounded; [triesParts] is true if it is this one.
     */
    fun standing(
        reports: CrashReports,
        subjects: List<CrashSubject>,
        requestId: String,
        triesParts: Boolean,
        now: Instant,
    ): CrashStanding {
        val end = quarantinedUntil(reports, subjects, now) ?: return CrashStanding.Clear
        val quarantined =
            subjects.filter { subject ->
                quarantineEnd(reports, subject, subjects)?.let { it > now } ==
                    true
            }
        val parts = quarantined.filterIsInstance<CrashSubject.Part>().filter { isTriable(reports, it) }
        if (parts.size < quarantined.size) return CrashStanding.Quarantined(end)
        val nextTrialAt = parts.maxOf { nextTrialAt(reports.bySubject.getValue(it), requestId) }
        return when {
            triesParts && now >= nextTrialAt -> CrashStanding.MayTry(parts)
            else -> CrashStanding.Quarantined(minOf(end, maxOf(nextTrialAt, now + TRIAL_INTERVAL)))
        }
    }

    /** Records that the request [requestId] tries [parts] at [now]. */
    fun tried(
        reports: CrashReports,
        parts: List<CrashSubject.Part>,
        requestId: String,
        now: Instant,
    ): CrashReports =
        parts.fold(reports) { known, part ->
            val record = known.bySubject.getValue(part)
            val former = record.trials
            if (former?.requestId == requestId) return@fold known
            val trials = CrashTrials(count = (former?.count ?: 0) + 1, requestId, startedAt = now)
            replaced(known, part, record.copy(trials = trials))
        }

    /** Returns true if peers must be told at [now] that what [record] is about was served after all its crashes. */
    fun isServingNews(
        record: CrashRecord,
        now: Instant,
    ): Boolean {
        val wasQuarantined = record.crashes.size >= PART_CRASH_LIMIT
        val period = if (wasQuarantined) QUARANTINE_PERIOD else SERVING_NEWS_PERIOD
        return record.unexplained.isEmpty() && now - record.crashes.values.max() < period
    }

    /**
     * Returns true if a request with [subjects] will probably crash the server that starts on it, as of [now].
     *
     * A part that was served before is refused too, but its attempts in progress may still clear it.
     */
    fun holdsLikelyCause(
        reports: CrashReports,
        subjects: List<CrashSubject>,
        now: Instant,
    ): Boolean =
        subjects.any { subject ->
            val mayBeCause =
                when (subject) {
                    is CrashSubject.Request -> true
                    is CrashSubject.Part -> isNew(reports, subject)
                }
            mayBeCause && quarantineEnd(reports, subject, subjects)?.let { it > now } == true
        }

    /** Returns the parts at several crashes that were served before them, though not since. */
    fun suspectsServedBefore(reports: CrashReports): List<CrashSubject.Part> =
        reports.bySubject
            .filterValues { it.unexplained.size >= NEW_PART_CRASH_LIMIT }
            .keys
            .filterIsInstance<CrashSubject.Part>()
            .filter { it.key in reports.servedParts }

    /** Removes the subjects whose crashes are all too old to matter as of [now]. */
    fun pruned(
        reports: CrashReports,
        now: Instant,
    ): CrashReports {
        val expired = reports.bySubject.filter { (subject, record) -> isExpired(reports, subject, record, now) }.keys
        if (expired.isEmpty()) return reports
        return reports.copy(bySubject = expired.fold(reports.bySubject) { rest, subject -> rest.remove(subject) })
    }

    /** Returns when the quarantine of [subject] ends in a request with [subjects], or null if it is in none. */
    private fun quarantineEnd(
        reports: CrashReports,
        subject: CrashSubject,
        subjects: List<CrashSubject>,
    ): Instant? {
        val unexplained = reports.bySubject[subject]?.unexplained ?: return null
        if (quarantinePeriod(reports, subject, unexplained.size) == null) return null
        val remaining = unexplained - livesCrashedByOthers(reports, subject, subjects)
        val period = quarantinePeriod(reports, subject, remaining.size) ?: return null
        return remaining.values.max() + period
    }

    /** Returns the lives whose crashes are explained by a part that is more suspect and not in a request with [subjects]. */
    private fun livesCrashedByOthers(
        reports: CrashReports,
        subject: CrashSubject,
        subjects: List<CrashSubject>,
    ): Set<Int> =
        when (subject) {
            // A request has parts of its own that were never served; a part of another request does not clear it.
            is CrashSubject.Request -> {
                emptySet()
            }

            is CrashSubject.Part -> {
                val crashes = if (isNew(reports, subject)) crashCount(reports, subject) else 0
                reports.bySubject
                    .filterKeys { it !in subjects && it is CrashSubject.Part && isNew(reports, it) }
                    .filterValues { it.unexplained.size > maxOf(crashes, NEW_PART_CRASH_LIMIT - 1) }
                    .values
                    .flatMap { it.unexplained.keys }
                    .toSet()
            }
        }

    /** Returns true if [part] was served before its crashes, and they are few enough that it may be tried. */
    private fun isTriable(
        reports: CrashReports,
        part: CrashSubject.Part,
    ): Boolean {
        val isUnderLimit = crashCount(reports, part) < TRIAL_CRASH_LIMIT
        return part.key in reports.servedParts && isUnderLimit
    }

    /** Returns when the request [requestId] may try the part of [record]; one that tries it already may go on at once. */
    private fun nextTrialAt(
        record: CrashRecord,
        requestId: String,
    ): Instant {
        val lastCrashAt = record.unexplained.values.max()
        val afterCrash = lastCrashAt + TRIAL_PAUSE
        val trials = record.trials ?: return afterCrash
        return when {
            trials.requestId == requestId && trials.startedAt > lastCrashAt -> trials.startedAt
            trials.requestId == requestId || trials.count >= MAXIMUM_TRIALS -> Instant.DISTANT_FUTURE
            else -> maxOf(afterCrash, trials.startedAt + TRIAL_INTERVAL)
        }
    }

    private fun crashCount(
        reports: CrashReports,
        subject: CrashSubject,
    ): Int =
        reports.bySubject[subject]
            ?.unexplained
            .orEmpty()
            .size

    /** Returns how long [subject] is refused after the last of [crashes] crashes, or null if it is not. */
    private fun quarantinePeriod(
        reports: CrashReports,
        subject: CrashSubject,
        crashes: Int,
    ): Duration? =
        when (subject) {
            is CrashSubject.Request -> {
                QUARANTINE_PERIOD.takeIf { crashes >= REQUEST_CRASH_LIMIT }
            }

            is CrashSubject.Part -> {
                when {
                    crashes >= PART_CRASH_LIMIT -> QUARANTINE_PERIOD
                    crashes >= NEW_PART_CRASH_LIMIT && isNew(reports, subject) -> TRIAL_PERIOD
                    else -> null
                }
            }
        }

    /** Returns true if parts are known to have been served, but not [part]. */
    private fun isNew(
        reports: CrashReports,
        part: CrashSubject.Part,
    ): Boolean = !reports.servedParts.isEmpty && part.key !in reports.servedParts

    private fun withServedPart(
        reports: CrashReports,
        subject: CrashSubject,
    ): CrashReports {
        val parts = reports.servedParts
        if (subject !is CrashSubject.Part || subject.key in parts.recent) return reports
        val isFull = parts.recent.size >= MAXIMUM_SERVED_PARTS
        val kept = if (isFull) ServedParts(persistentSetOf(), former = parts.recent) else parts
        return reports.copy(servedParts = kept.copy(recent = kept.recent.add(subject.key)))
    }

    private fun isExpired(
        reports: CrashReports,
        subject: CrashSubject,
        record: CrashRecord,
        now: Instant,
    ): Boolean {
        val wasQuarantined = quarantineEnd(reports, subject, listOf(subject)) != null
        val lifetime = if (wasQuarantined) QUARANTINE_LIFETIME else SUSPICION_LIFETIME
        return record.crashes.values.all { now - it >= lifetime }
    }

    private fun replaced(
        reports: CrashReports,
        subject: CrashSubject,
        record: CrashRecord,
    ): CrashReports = reports.copy(bySubject = reports.bySubject.put(subject, record))

    private const val REQUEST_CRASH_LIMIT = 2 // so that no third server crashes on the same request
    private const val PART_CRASH_LIMIT = 3 // a sound part can be at two crashes that others cause
    private const val NEW_PART_CRASH_LIMIT = 2
    private const val TRIAL_CRASH_LIMIT = 5 // the rules allow no more of such a part
    private const val MAXIMUM_TRIALS = 3
    private const val MAXIMUM_SERVED_PARTS = 5_000
    private val TRIAL_PAUSE: Duration = 3.seconds // servers that crashed have started again by then
    private val TRIAL_INTERVAL: Duration = 2.seconds // a crash at a trial shows earlier
    private val SERVING_NEWS_PERIOD: Duration = 5.seconds
    private val TRIAL_PERIOD: Duration = 10.seconds // a new part is refused for this long after two crashes
    private val QUARANTINE_PERIOD: Duration = 120.seconds // callers resend such a request within minutes
    private val SUSPICION_LIFETIME: Duration = 120.seconds

    /** No crash that matters is older; meanwhile, one more crash renews the quarantine. */
    val QUARANTINE_LIFETIME: Duration = 10.minutes
}
