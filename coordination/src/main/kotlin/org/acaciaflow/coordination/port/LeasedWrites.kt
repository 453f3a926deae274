package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import kotlin.time.Duration

/** Conditional writes to the platform's store, and the leases that keys can be tied to. */
interface LeasedWrites {
    /** Writes [value] if the key is at revision [expected]; [KeyValueStore.ABSENT] requires that it does not exist. */
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
}
