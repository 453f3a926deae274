package org.acaciaflow.state.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Instant

/** Backend servers that broke off while running a request, by the digest of the request's content. */
data class CrashReports(
    val byDigest: PersistentMap<Long, PersistentMap<BackendLife, Instant>>,
) {
    companion object {
        val NONE = CrashReports(persistentMapOf())
    }
}
