package org.acaciaflow.coordination.crash

import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Quarantines requests during which backend servers crashed, so that they don't crash further servers. */
object CrashQuarantine {
    /** Records at time [at] that [life] crashed while it ran the request with this digest. */
    fun reported(
        reports: CrashReports,
        digest: Long,
        life: BackendLife,
        at: Instant,
    ): CrashReports {
        val known = reports.byDigest[digest] ?: persistentMapOf()
        return CrashReports(reports.byDigest.put(digest, known.put(life, at)))
    }

    /**
     * Records a crash that another gateway reported at time [at].
     *
     * A crash that is known already keeps its time, so that gateways do not renew it by telling each other.
     */
    fun reportedByPeer(
        reports: CrashReports,
        digest: Long,
        life: BackendLife,
        at: Instant,
    ): CrashReports =
        if (reports.byDigest[digest]?.containsKey(life) == true) reports else reported(reports, digest, life, at)

    /** Returns true if the request has reached the limit of recent crashes as of [now]. */
    fun isQuarantined(
        reports: CrashReports,
        digest: Long,
        now: Instant,
    ): Boolean = (reports.byDigest[digest]?.values?.count { now - it < REPORT_LIFETIME } ?: 0) >= CRASH_LIMIT

    /** Removes the requests whose crash reports have all expired as of [now]. */
    fun pruned(
        reports: CrashReports,
        now: Instant,
    ): CrashReports {
        val expired = reports.byDigest.filterValues { lives -> lives.values.all { now - it >= REPORT_LIFETIME } }.keys
        return if (expired.isEmpty()) {
            reports
        } else {
            CrashReports(
                expired.fold(reports.byDigest) { rest, key -> rest.remove(key) },
            )
        }
    }

    private const val CRASH_LIMIT = 2 // so that no third server crashes on the same request
    private val REPORT_LIFETIME: Duration = 120.seconds // callers resend such a request within minutes
}
