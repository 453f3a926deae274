package org.acaciaflow.state.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.RequestDigest

/** Requests that were in progress when an engine crashed, by digest. */
data class CrashSuspects(
    val suspects: PersistentMap<RequestDigest, CrashSuspect>,
) {
    companion object {
        val NONE = CrashSuspects(persistentMapOf())
    }
}
