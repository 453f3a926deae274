package org.acaciaflow.coordination.peer

import kotlinx.coroutines.delay
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.LeaseIdentity
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.SwapOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps this gateway's key in the store, tied to a lease, so that other gateways find it. */
class PeerRegistration(
    private val store: LeasedWrites,
    private val key: StoreKey,
    private val value: ByteString,
    private val observations: Observations,
) {
    /** Registers and renews until cancelled. */
    suspend fun run() {
        while (true) {
            val lease = granted()
            if (lease != null && written(lease)) renewWhileValid(lease)
            delay(RETRY_INTERVAL)
        }
    }

    private suspend fun granted(): LeaseIdentity? =
        when (val result = store.grantLease(TIME_TO_LIVE)) {
            is StoreResult.Success -> result.value
            is StoreResult.Failure -> null.also { observations.storeFailed(result.reason) }
        }

    private suspend fun written(lease: LeaseIdentity): Boolean {
        var expected = KeyValueStore.ABSENT
        repeat(WRITE_TRIES) {
            when (val result = store.swap(key, expected, value, lease)) {
                is StoreResult.Failure -> {
                    observations.storeFailed(result.reason)
                    return false
                }

                is StoreResult.Success -> {
                    when (val swap = result.value) {
                        is SwapOutcome.Swapped -> return true
                        is SwapOutcome.Conflict -> expected = swap.current?.revision ?: KeyValueStore.ABSENT
                    }
                }
            }
        }
        return false
    }

    private suspend fun renewWhileValid(lease: LeaseIdentity) {
        while (true) {
            delay(RENEWAL_INTERVAL)
            when (val result = store.renewLease(lease)) {
                is StoreResult.Success -> if (!result.value) return
                is StoreResult.Failure -> observations.storeFailed(result.reason)
            }
        }
    }

    private companion object {
        val TIME_TO_LIVE: Duration = 15.seconds // gateways hear of each other directly, so a late lapse is harmless
        val RENEWAL_INTERVAL: Duration = 5.seconds
        val RETRY_INTERVAL: Duration = 1.seconds
        const val WRITE_TRIES = 3 // the first tells the revision of an earlier life's key
    }
}
