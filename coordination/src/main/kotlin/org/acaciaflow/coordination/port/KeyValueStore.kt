package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.flow.Flow

/** The platform's key-value service. Every call is bounded in time and answers with a typed result. */
interface KeyValueStore : LeasedWrites {
    /** Reads one key; null when absent. */
    suspend fun read(key: StoreKey): StoreResult<StoredValue?>

    /** Reads the keys below [prefix] in key order, at most [limit] of them. */
    suspend fun list(
        prefix: StoreKey,
        limit: Int,
    ): StoreResult<PersistentList<StoredValue>>

    /** Values written below [prefix] from now on. The flow completes when the watch breaks; gaps are possible. */
    fun watch(prefix: StoreKey): Flow<StoredValue>

    companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L
    }
}
