package org.acaciaflow.state.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Requests for one pool and repeated sends to it, counted by second since the epoch. */
data class RetryWindow(
    val requests: PersistentMap<Long, Int>,
    val repeats: PersistentMap<Long, Int>,
) {
    companion object {
        val EMPTY = RetryWindow(persistentMapOf(), persistentMapOf())
    }
}
