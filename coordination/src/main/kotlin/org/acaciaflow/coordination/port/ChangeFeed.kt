package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import kotlin.time.Duration

/** Reads the whole store once and then what changes in it, without gaps. */
interface ChangeFeed {
    /** All keys, and a revision from which [changes] misses none of what came after the first of them was read. */
    suspend fun snapshot(): StoreResult<StoreSnapshot>

    /** Changes after [revision]; waits up to [wait] for the first. */
    suspend fun changes(
        revision: Long,
        wait: Duration,
    ): StoreResult<StoreChanges>
}

/** The keys of the store as of [revision] or later. */
data class StoreSnapshot(
    val values: PersistentList<StoredValue>,
    val revision: Long,
)

/** What a wait for changes brought. */
sealed interface StoreChanges {
    /** Changes in the order of their revisions, complete up to [revision]. */
    data class Batch(
        val changes: PersistentList<StoreChange>,
        val revision: Long,
    ) : StoreChanges

    /** The store no longer knows what changed since then; read a snapshot. */
    data object HistoryLost : StoreChanges
}

/** One change of one key. */
sealed interface StoreChange {
    val key: StoreKey

    data class Written(
        val value: StoredValue,
    ) : StoreChange {
        override val key: StoreKey
            get() = value.key
    }

    data class Removed(
        override val key: StoreKey,
    ) : StoreChange
}
