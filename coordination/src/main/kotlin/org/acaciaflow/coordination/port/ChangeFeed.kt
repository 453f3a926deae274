package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration

/** Reads the keys of the store page by page, and then all changes since, without gaps. */
interface ChangeFeed {
    /** The prefixes of the keys that are read, in the order in which a process needs them. */
    val sections: PersistentList<StoreKey>

    /**
     * Reads the page of [section] that begins after [after], or the first page; waits at most [timeout].
     *
     * Pages are not read atomically; [changes] after the first page's revision returns what they miss.
     */
    suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage>

    /** Returns the changes after [revision]; waits up to [wait] for the first one. */
    suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges>
}

/** A page of keys as of [revision]; [next] is the key after which the next page begins, null after the last page. */
data class StorePage(
    val items: PersistentList<StoreItem>,
    val revision: StoreRevision,
    val next: StoreKey?,
)

/** Result of waiting for changes. */
sealed interface StoreChanges {
    /** The era of the store that answered. */
    val era: StoreEra

    /** Changes in the order of their revisions, complete up to [revision]. */
    data class Batch(
        val changes: PersistentList<StoreChange>,
        val revision: StoreRevision,
    ) : StoreChanges {
        override val era: StoreEra
            get() = revision.era
    }

    /** The store, now in [era], no longer has the changes since the given revision; read all keys again. */
    data class HistoryLost(
        override val era: StoreEra,
    ) : StoreChanges
}
