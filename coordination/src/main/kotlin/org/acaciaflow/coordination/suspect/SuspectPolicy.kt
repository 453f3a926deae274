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

/** Decides how a request may run that was in progress when an engine crashed. */
object SuspectPolicy {
    /** A request that crashed this many engines is refused. */
    const val CRASH_LIMIT = 2

    /** How many backend servers a suspect may run on. */
    const val DESIGNATED_SERVERS = 2

    private val QUARANTINE: Duration = 10.minutes

    /** What is allowed as of [now]; null stands for a request that nobody suspects. */
    fun verdict(
        suspect: CrashSuspect?,
        now: Instant,
    ): SuspectVerdict =
        when {
            suspect == null || now - suspect.lastCrashAt > QUARANTINE -> SuspectVerdict.CLEAR
            suspect.crashes.size >= CRASH_LIMIT -> SuspectVerdict.QUARANTINED
            else -> SuspectVerdict.RUN_ALONE
        }

    /** The suspect after a crash during [attempt]; crashes before an expired quarantine do not count. */
    fun noted(
        suspect: CrashSuspect?,
        attempt: AttemptIdentity,
        now: Instant,
    ): CrashSuspect {
        val earlier = suspect?.takeIf { now - it.lastCrashAt <= QUARANTINE }?.crashes ?: persistentSetOf()
        return CrashSuspect(earlier.add(attempt), now)
    }

    /** The servers among [candidates] that the digest names, the same whichever gateway asks. */
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
