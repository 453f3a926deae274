package org.acaciaflow.state.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Instant

/**
 * Backend servers that broke off an answer, by the digest of the request that they were executing.
 *
 * The time of the latest failure is kept for each server.
 */
data class CrashReports(
    val byDigest: PersistentMap<Long, PersistentMap<BackendLife, Instant>>,
) {
    companion object {
        val NONE = CrashReports(persistentMapOf())
    }
}
