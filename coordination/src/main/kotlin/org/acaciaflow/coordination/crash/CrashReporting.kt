package org.acaciaflow.coordination.crash

import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Keeps a request whose backend servers break off from reaching ever more of them. */
object CrashReporting {
    /** Notes that [life] broke off while it ran the request with this digest. */
    fun reported(
        reports: CrashReports,
        digest: Long,
        life: BackendLife,
        at: Instant,
    ): CrashReports {
        val known = reports.byDigest[digest] ?: persistentMapOf()
        return CrashReports(reports.byDigest.put(digest, known.put(life, at)))
    }

    /** True when as many backend servers broke off as one request may cost. */
    fun quarantined(
        reports: CrashReports,
        digest: Long,
        now: Instant,
    ): Boolean = (reports.byDigest[digest]?.values?.count { now - it < REMEMBERED } ?: 0) >= TOLERATED_CRASHES

    /** Forgets reports that no longer count as of [now]. */
    fun pruned(
        reports: CrashReports,
        now: Instant,
    ): CrashReports {
        val old = reports.byDigest.filterValues { lives -> lives.values.all { now - it >= REMEMBERED } }.keys
        return if (old.isEmpty()) {
            reports
        } else {
            CrashReports(
                old.fold(reports.byDigest) { rest, key -> rest.remove(key) },
            )
        }
    }

    private const val TOLERATED_CRASHES = 2 // a third server must not be lost to the same request
    private val REMEMBERED: Duration = 120.seconds // callers send such a request again within minutes
}
