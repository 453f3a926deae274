package org.acaciaflow.state.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/**
 * What is known of the subjects of requests that were starting at backend servers when these crashed.
 *
 * [servedParts] are the parts that this gateway has served, whether they are suspected of crashes or not, and suspected
 * parts that its peers have served.
 */
data class CrashReports(
    val bySubject: PersistentMap<CrashSubject, CrashRecord>,
    val servedParts: ServedParts,
) {
    companion object {
        val NONE = CrashReports(persistentMapOf(), ServedParts.NONE)
    }
}

/**
 * What is known of one subject.
 *
 * [crashes] holds the times of the crashes by the codes of the crashed lives. [servedAt] is when a request with the
 * subject was last served completely; crashes before that time had another cause. [trials] are null until there is one.
 */
data class CrashRecord(
    val crashes: PersistentMap<Int, Instant>,
    val servedAt: Instant,
    val trials: CrashTrials?,
) {
    /** The crashes after the subject was last served, which it may have caused. */
    val unexplained: Map<Int, Instant>
        get() = crashes.filterValues { it > servedAt }

    companion object {
        val NONE = CrashRecord(persistentMapOf(), Instant.DISTANT_PAST, trials = null)
    }
}
