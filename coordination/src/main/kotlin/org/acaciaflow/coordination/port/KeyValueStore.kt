package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.flow.Flow

/** The platform's key-value service. Every call has a timeout and returns failures as a [StoreResult]. */
interface KeyValueStore : LeasedWrites {
    /** Reads one key; null when absent. */
    suspend fun read(key: StoreKey): StoreResult<StoredValue?>

    /** Reads the keys below [prefix] in key order, at most [limit] of them. */
    suspend fun list(
        prefix: StoreKey,
        limit: Int,
    ): StoreResult<PersistentList<StoredValue>>

    /** Emits values written below [prefix] from now on; may miss some. The flow completes when the watch breaks. */
    fun watch(prefix: StoreKey): Flow<StoredValue>

    companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L
    }
}
