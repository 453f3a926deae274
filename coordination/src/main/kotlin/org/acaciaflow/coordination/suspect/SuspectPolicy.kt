package org.acaciaflow.coordination.suspect

import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.suspect.CrashSuspect
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.digestOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Decides how a request may run after an engine crashed while executing it. */
object SuspectPolicy {
    /** Number of engine crashes after which a request is quarantined. */
    const val CRASH_LIMIT = 2

    /** Number of backend servers on which a suspect may run. */
    const val DESIGNATED_SERVERS = 2

    private val QUARANTINE_PERIOD: Duration = 10.minutes

    /** Returns how the request may run as of [now]; [suspect] is null for a request that is not suspected. */
    fun verdict(
        suspect: CrashSuspect?,
        now: Instant,
    ): SuspectVerdict =
        when {
            suspect == null || now - suspect.lastCrashAt > QUARANTINE_PERIOD -> SuspectVerdict.CLEAR
            suspect.crashes.size >= CRASH_LIMIT -> SuspectVerdict.QUARANTINED
            else -> SuspectVerdict.RUN_ALONE
        }

    /** Returns the suspect with the crash during [attempt] added; crashes before an expired quarantine are dropped. */
    fun withCrash(
        suspect: CrashSuspect?,
        attempt: AttemptIdentity,
        now: Instant,
    ): CrashSuspect {
        val earlier = suspect?.takeIf { now - it.lastCrashAt <= QUARANTINE_PERIOD }?.crashes ?: persistentSetOf()
        return CrashSuspect(earlier.add(attempt), now)
    }

    /** Selects the servers on which the suspect may run; the choice depends on the digest, so all gateways agree. */
    fun designated(
        digest: RequestDigest,
        candidates: List<HostAddress>,
    ): List<HostAddress> =
        candidates
            .sortedBy { digestOf(digest.hexadecimal, it.toString(), ByteArray(0)).hexadecimal }
            .take(DESIGNATED_SERVERS)
}

/** How a request may run. */
enum class SuspectVerdict {
    CLEAR,
    RUN_ALONE,
    QUARANTINED,
}
