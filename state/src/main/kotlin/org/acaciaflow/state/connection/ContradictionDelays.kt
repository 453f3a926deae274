package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Duration
import kotlin.time.Instant

/** How long after answers of each pool's servers the answers came that contradict them, the newest last. */
data class ContradictionDelays(
    val byPool: PersistentMap<PoolName, PersistentList<ContradictionDelay>>,
) {
    companion object {
        val NONE = ContradictionDelays(persistentHashMapOf())
    }
}

/** A contradiction, seen at [seenAt], arrived [delay] after the end of the answer that it contradicts. */
data class ContradictionDelay(
    val delay: Duration,
    val seenAt: Instant,
)
