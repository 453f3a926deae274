package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import kotlin.time.Duration

/** Conditional writes to the platform's store, optionally bound to a lease. */
interface LeasedWrites {
    /** Writes [value] if the key is at revision [expected], or absent for [KeyValueStore.ABSENT]. */
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
}
