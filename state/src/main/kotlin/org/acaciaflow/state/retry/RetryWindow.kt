package org.acaciaflow.state.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Counts of requests and retries for one pool, keyed by seconds since the epoch. */
data class RetryWindow(
    val requests: PersistentMap<Long, Int>,
    val retries: PersistentMap<Long, Int>,
) {
    companion object {
        val EMPTY = RetryWindow(persistentMapOf(), persistentMapOf())
    }
}
