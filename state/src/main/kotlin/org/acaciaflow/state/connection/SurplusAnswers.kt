package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.state.fleet.BackendLife

/** The backend servers that wrote answers beside those that requests on their connections waited for. */
data class SurplusAnswers(
    val byLife: PersistentMap<BackendLife, SurplusRecord>,
) {
    companion object {
        val NONE = SurplusAnswers(persistentHashMapOf())
    }
}
