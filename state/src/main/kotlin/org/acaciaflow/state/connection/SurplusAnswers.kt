package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Instant

/** When each backend server last wrote an answer beside those that requests on their connections waited for. */
data class SurplusAnswers(
    val lastSeen: PersistentMap<BackendLife, Instant>,
) {
    companion object {
        val NONE = SurplusAnswers(persistentHashMapOf())
    }
}
