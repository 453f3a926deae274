package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.flow.Flow
import kotlinx.io.bytestring.ByteString
import kotlin.time.Duration

/**
 * The product's own key-value service. Its revisions have no era, so it must not return from an older copy.
 *
 * Every call has a timeout and returns failures as a [StoreResult].
 */
interface KeyValueStore {
    /** Reads one key; null when absent. */
    suspend fun read(key: StoreKey): StoreResult<StoredValue?>

    /** Reads the keys below [prefix] in key order, at most [limit] of them. */
    suspend fun list(
        prefix: StoreKey,
        limit: Int,
    ): StoreResult<PersistentList<StoredValue>>

    /** Writes [value] if the key is at revision [expected], or absent for [ABSENT]. */
    suspend fun swap(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        lease: LeaseIdentity? = null,
    ): StoreResult<SwapOutcome>

    /** Grants a lease that expires after [timeToLive] without renewal. */
    suspend fun grantLease(timeToLive: Duration): StoreResult<LeaseIdentity>

    /** Renews a lease; false when it has expired. */
    suspend fun renewLease(lease: LeaseIdentity): StoreResult<Boolean>

    /** Emits values written below [prefix] from now on; may miss some. The flow completes when the watch breaks. */
    fun watch(prefix: StoreKey): Flow<StoredValue>

    companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L
    }
}
