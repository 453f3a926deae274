package org.acaciaflow.coordination.peer

import kotlinx.coroutines.delay
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.LeasedSwap
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreLease
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Registers this gateway in the store under a key bound to a lease, so that other gateways discover it. */
class PeerRegistration(
    private val store: LeasedWrites,
    private val key: StoreKey,
    private val value: ByteString,
    private val observations: Observations,
) {
    /** Registers the gateway and renews the lease until cancelled. */
    suspend fun run() {
        while (true) {
            val lease = grantLease()
            if (lease != null && writeKey(lease)) renewWhileValid(lease)
            delay(RETRY_DELAY)
        }
    }

    private suspend fun grantLease(): StoreLease? =
        when (val result = store.grantLease(LEASE_LIFETIME)) {
            is StoreResult.Success -> result.value
            is StoreResult.Failure -> null.also { observations.storeFailed(result.reason) }
        }

    private suspend fun writeKey(lease: StoreLease): Boolean {
        var expected: StoreRevision? = null
        repeat(MAXIMUM_WRITE_ATTEMPTS) {
            when (val result = store.swap(key, expected, value, lease)) {
                is StoreResult.Failure -> {
                    observations.storeFailed(result.reason)
                    return false
                }

                is StoreResult.Success -> {
                    when (val swap = result.value) {
                        is LeasedSwap.Written -> return true
                        is LeasedSwap.Conflict -> expected = swap.current
                    }
                }
            }
        }
        return false
    }

    private suspend fun renewWhileValid(lease: StoreLease) {
        while (true) {
            delay(RENEWAL_INTERVAL)
            when (val result = store.renewLease(lease)) {
                is StoreResult.Success -> if (!result.value.valid) return
                is StoreResult.Failure -> observations.storeFailed(result.reason)
            }
        }
    }

    private companion object {
        val LEASE_LIFETIME: Duration = 15.seconds // late expiry is harmless: peers also detect missing reports
        val RENEWAL_INTERVAL: Duration = 5.seconds
        val RETRY_DELAY: Duration = 1.seconds
        const val MAXIMUM_WRITE_ATTEMPTS = 3 // the first conflicts if an earlier process left the key
    }
}
