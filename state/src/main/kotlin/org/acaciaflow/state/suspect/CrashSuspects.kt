package org.acaciaflow.state.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.RequestDigest

/** Requests suspected of crashing engines because they were in flight during a crash, by digest. */
data class CrashSuspects(
    val suspects: PersistentMap<RequestDigest, CrashSuspect>,
) {
    companion object {
        val NONE = CrashSuspects(persistentMapOf())
    }
}
