package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Instant

/**
 * When the servers of each pool last failed, answered twice or broke an answer off, and the lines on their successes.
 *
 * [written] lines were written since [periodBegan], and [leftOut] were left out since the last one that was written.
 */
data class PoolTroubles(
    val lastSeen: PersistentMap<PoolName, Instant>,
    val periodBegan: Instant,
    val written: Int,
    val leftOut: Int,
) {
    companion object {
        val NONE = PoolTroubles(persistentHashMapOf(), Instant.DISTANT_PAST, written = 0, leftOut = 0)
    }
}
