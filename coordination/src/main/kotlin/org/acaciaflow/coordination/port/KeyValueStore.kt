package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.flow.Flow
import kotlinx.io.bytestring.ByteString
import kotlin.time.Duration

/** The platform's key-value service. Every call is bounded in time and answers with a typed result. */
interface KeyValueStore {
    /** Reads one key; null when absent. */
    suspend fun read(key: StoreKey): StoreResult<StoredValue?>

    /** Reads the keys below [prefix] in key order, at most [limit] of them. */
    suspend fun list(
        prefix: StoreKey,
        limit: Int,
    ): StoreResult<PersistentList<StoredValue>>

    /** Writes [value] if the key is at revision [expected]; [ABSENT] requires that it does not exist. */
    suspend fun swap(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        lease: LeaseIdentity? = null,
    ): StoreResult<SwapOutcome>

    /** Grants a lease that lapses after [timeToLive] without renewal. */
    suspend fun grantLease(timeToLive: Duration): StoreResult<LeaseIdentity>

    /** Renews a lease; false when it has lapsed. */
    suspend fun renewLease(lease: LeaseIdentity): StoreResult<Boolean>

    /** Values written below [prefix] from now on. The flow completes when the watch breaks; gaps are possible. */
    fun watch(prefix: StoreKey): Flow<StoredValue>

    companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L
    }
}
