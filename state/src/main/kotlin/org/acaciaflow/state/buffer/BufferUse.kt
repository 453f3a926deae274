package org.acaciaflow.state.buffer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife

/** The memory that unfinished answers occupy, in bytes: in [total] and for each backend server that sends them. */
data class BufferUse(
    val total: Long,
    val byBackend: PersistentMap<BackendLife, Long>,
) {
    companion object {
        val NONE = BufferUse(total = 0, byBackend = persistentMapOf())
    }
}
