package org.acaciaflow.coordination.stream

import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreLease
import org.acaciaflow.coordination.port.StoreResult
import kotlin.concurrent.Volatile
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The lease that records are bound to, which is never renewed, so that they disappear by themselves.
 *
 * It is granted for two lifetimes of a stream and replaced after one: each record stays for at least one.
 */
internal class RecordLease(
    private val leases: LeasedWrites,
    private val admittance: EraAdmittance,
    private val clock: Clock,
) {
    @Volatile
    private var current: GrantedLease? = null

    /** Returns a lease that will not expire for [lifetime]. */
    suspend fun validFor(lifetime: Duration): StoreResult<StoreLease> {
        val requestedAt = clock.now()
        val known = current
        if (known != null && known.expiresAt - requestedAt >= lifetime) return StoreResult.Success(known.lease)
        return when (val result = leases.grantLease(lifetime * 2)) {
            is StoreResult.Failure -> result
            is StoreResult.Success -> granted(result.value, expiresAt = requestedAt + lifetime * 2)
        }
    }

    /** Forgets the lease, which the store does not know any more. */
    fun drop() {
        current = null
    }

    private fun granted(
        lease: StoreLease,
        expiresAt: Instant,
    ): StoreResult<StoreLease> {
        val era = admittance.admit(lease.era) ?: return StoreResult.Failure(StoreFailure.PAST_ERA)
        val admitted = lease.copy(era = era)
        current = GrantedLease(admitted, expiresAt)
        return StoreResult.Success(admitted)
    }

    private data class GrantedLease(
        val lease: StoreLease,
        val expiresAt: Instant,
    )
}
