package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration

/** Conditional writes to the platform's store, optionally bound to a lease. */
interface LeasedWrites {
    /** Writes [value] if the key is at revision [expected], or absent if that is null. */
    suspend fun swap(
        key: StoreKey,
        expected: StoreRevision?,
        value: ByteString,
        lease: StoreLease? = null,
    ): StoreResult<LeasedSwap>

    /** Grants a lease that expires after [timeToLive] without renewal. */
    suspend fun grantLease(timeToLive: Duration): StoreResult<StoreLease>

    /** Renews [lease] by its number, which may be another lease's in another era. */
    suspend fun renewLease(lease: StoreLease): StoreResult<LeaseRenewal>
}

/** A lease that the store granted in [era]. */
data class StoreLease(
    val identity: LeaseIdentity,
    val era: StoreEra,
)

/** The answer of [era] to a renewal; not [valid] when the lease has expired. */
data class LeaseRenewal(
    val era: StoreEra,
    val valid: Boolean,
)

/** Outcome of a leased compare-and-swap that the store answered. */
sealed interface LeasedSwap {
    /** The era of the store that answered. */
    val era: StoreEra

    /** Written; the key is now at [revision]. */
    data class Written(
        val revision: StoreRevision,
    ) : LeasedSwap {
        override val era: StoreEra
            get() = revision.era
    }

    /** Not written because the key was at another revision; [current] is null when the key is absent. */
    data class Conflict(
        override val era: StoreEra,
        val current: StoreRevision?,
    ) : LeasedSwap
}
