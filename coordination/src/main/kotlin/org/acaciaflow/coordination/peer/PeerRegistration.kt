package org.acaciaflow.coordination.peer

import kotlinx.coroutines.delay
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.LeaseRenewal
import org.acaciaflow.coordination.port.LeasedSwap
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreLease
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Registers this gateway in the store under a key bound to a lease, so that other gateways discover it.
 *
 * A lease and a revision are used only in the era of the store that gave them out: in another, their numbers may be others'.
 */
class PeerRegistration(
    private val store: LeasedWrites,
    private val key: StoreKey,
    private val value: ByteString,
    private val eras: StoreEraTracker,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    /** Registers the gateway and renews the lease until cancelled. */
    suspend fun run() {
        while (true) {
            when (register()) {
                RegistrationEnd.LOST -> delay(RETRY_DELAY)
                RegistrationEnd.OTHER_ERA -> delay(LONGEST_PAUSE_AFTER_RETURN * random.nextDouble())
            }
        }
    }

    /** Registers the gateway once and returns when the registration has ended. */
    private suspend fun register(): RegistrationEnd {
        val lease = grantLease() ?: return RegistrationEnd.LOST
        return writeKey(lease) ?: renewWhileValid(lease)
    }

    private suspend fun grantLease(): StoreLease? =
        when (val result = store.grantLease(LEASE_LIFETIME)) {
            is StoreResult.Success -> admitted(result.value.era)?.let { result.value.copy(era = it) }
            is StoreResult.Failure -> null.also { observations.storeFailed(result.reason) }
        }

    /** Writes the key under [lease]; returns why that failed, or null if it is written. */
    private suspend fun writeKey(lease: StoreLease): RegistrationEnd? {
        var expected: StoreRevision? = null
        repeat(MAXIMUM_WRITE_ATTEMPTS) {
            when (val result = store.swap(key, expected, value, lease)) {
                is StoreResult.Failure -> {
                    observations.storeFailed(result.reason)
                    return RegistrationEnd.LOST
                }

                is StoreResult.Success -> {
                    val era = admitted(result.value.era) ?: return RegistrationEnd.LOST
                    if (era != lease.era) return RegistrationEnd.OTHER_ERA
                    when (val swap = result.value) {
                        is LeasedSwap.Written -> return null
                        is LeasedSwap.Conflict -> expected = swap.current
                    }
                }
            }
        }
        return RegistrationEnd.LOST
    }

    private suspend fun renewWhileValid(lease: StoreLease): RegistrationEnd {
        while (true) {
            eras.unlessLeft(lease.era) { delay(RENEWAL_INTERVAL) } ?: return RegistrationEnd.OTHER_ERA
            when (val result = store.renewLease(lease)) {
                is StoreResult.Success -> endAfter(result.value, lease)?.let { return it }
                is StoreResult.Failure -> observations.storeFailed(result.reason)
            }
        }
    }

    /** Why the registration under [lease] has ended, or null if [renewal] shows that it has not. */
    private fun endAfter(
        renewal: LeaseRenewal,
        lease: StoreLease,
    ): RegistrationEnd? {
        val era = admitted(renewal.era) ?: return null
        return when {
            era != lease.era -> RegistrationEnd.OTHER_ERA
            !renewal.valid -> RegistrationEnd.LOST
            else -> null
        }
    }

    /** The era that an answer of [answered] belongs to; null for an answer of a past one, which counts as a failure. */
    private fun admitted(answered: StoreEra): StoreEra? {
        val era = eras.admit(answered, clock.now())
        if (era == null) observations.storeFailed(StoreFailure.PAST_ERA)
        return era
    }

    /** Why a registration has ended. */
    private enum class RegistrationEnd {
        LOST,

        /** The store returned from a copy, in which neither lease nor key need be. */
        OTHER_ERA,
    }

    private companion object {
        val LEASE_LIFETIME: Duration = 15.seconds // late expiry is harmless: peers also detect missing reports
        val RENEWAL_INTERVAL: Duration = 5.seconds
        val RETRY_DELAY: Duration = 1.seconds
        val LONGEST_PAUSE_AFTER_RETURN: Duration = 2.seconds // spreads the writes of many gateways
        const val MAXIMUM_WRITE_ATTEMPTS = 3 // the first conflicts if an earlier process left the key
    }
}
