package org.acaciaflow.coordination.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.LeaseIdentity
import org.acaciaflow.coordination.port.LeaseRenewal
import org.acaciaflow.coordination.port.LeasedSwap
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreLease
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PeerRegistrationTest : AnnotationSpec() {
    /** Guards against a gateway without an entry, which renews a lease number that is another's since the return. */
    @Test
    fun `a renewal that is answered in another era registers the gateway anew`() =
        runTest {
            val store = LeasingStore()
            register(store)
            advanceTimeBy(4.seconds)

            store.returnFromCopy()
            advanceTimeBy(4.seconds)

            store.registeredIn shouldBe eraOf(2)
        }

    /** Guards against a gateway that is registered only at its next renewal, seconds after the return was seen. */
    @Test
    fun `a new era that another call shows registers the gateway anew within two seconds`() =
        runTest {
            val store = LeasingStore()
            val eras = register(store)
            advanceTimeBy(1.seconds)

            store.returnFromCopy()
            eras.admit(eraOf(2), clock().now())
            advanceTimeBy(2.1.seconds)

            store.registeredIn shouldBe eraOf(2)
            store.renewals shouldBe 0
        }

    /** Guards against an entry that is bound to the lease of another, which has the same number in the new era. */
    @Test
    fun `an entry that is written in another era than its lease is written anew with a new lease`() =
        runTest {
            val store = LeasingStore(returnsBeforeWrite = true)

            register(store)
            advanceTimeBy(4.seconds)

            store.registeredIn shouldBe eraOf(2)
            store.grants shouldBe 2
        }

    @Test
    fun `an answer of a past era neither ends nor renews a registration`() =
        runTest {
            val store = LeasingStore()
            val eras = register(store)
            advanceTimeBy(1.seconds)
            store.returnFromCopy()
            eras.admit(eraOf(2), clock().now())
            advanceTimeBy(3.seconds)

            store.answersInPast = true
            advanceTimeBy(20.seconds)

            store.grants shouldBe 2
        }

    @Test
    fun `a lease that has expired is replaced by a new one`() =
        runTest {
            val store = LeasingStore()
            register(store)
            advanceTimeBy(1.seconds)

            store.expire()
            advanceTimeBy(6.seconds)

            store.registeredIn shouldBe eraOf(1)
            store.grants shouldBe 2
        }

    @Test
    fun `a key of an earlier process is replaced`() =
        runTest {
            val store = LeasingStore().apply { occupy() }

            register(store)
            advanceTimeBy(1.seconds)

            store.registeredIn shouldBe eraOf(1)
        }

    private fun TestScope.register(store: LeasingStore): StoreEraTracker {
        val eras = StoreEraTracker(createRelayTables().store)
        val registration =
            PeerRegistration(
                store,
                StoreKey("gateways/one"),
                ByteString(),
                eras,
                FakeObservations(),
                clock(),
                Random(1),
            )
        backgroundScope.launch { registration.run() }
        return eras
    }

    private fun TestScope.clock(): Clock =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + currentTime)
        }
}

/** A store with one key, whose numbers of leases are the same in each era. */
private class LeasingStore(
    private var returnsBeforeWrite: Boolean = false,
) : LeasedWrites {
    private var era = 1L
    private var revision = 10L
    private var lease: StoreLease? = null
    private var key: StoreRevision? = null

    var grants = 0
    var renewals = 0
    var answersInPast = false

    /** The era of the lease that the key is bound to; null when there is no key, or the lease is of another era. */
    var registeredIn: StoreEra? = null

    fun returnFromCopy() {
        era += 1
        revision = 5
        lease = null
        key = null
        registeredIn = null
    }

    fun expire() {
        lease = null
        key = null
        registeredIn = null
    }

    fun occupy() {
        key = StoreRevision(eraOf(era), revision)
    }

    override suspend fun swap(
        key: StoreKey,
        expected: StoreRevision?,
        value: ByteString,
        lease: StoreLease?,
    ): StoreResult<LeasedSwap> {
        if (returnsBeforeWrite) {
            returnsBeforeWrite = false
            returnFromCopy()
        }
        if (this.key?.number != expected?.number) return StoreResult.Success(LeasedSwap.Conflict(eraOf(era), this.key))
        revision += 1
        this.key = StoreRevision(eraOf(era), revision)
        registeredIn = lease?.era?.takeIf { it == eraOf(era) }
        return StoreResult.Success(LeasedSwap.Written(StoreRevision(eraOf(era), revision)))
    }

    override suspend fun grantLease(timeToLive: Duration): StoreResult<StoreLease> {
        grants += 1
        val granted = StoreLease(LeaseIdentity(7), eraOf(era))
        lease = granted
        return StoreResult.Success(granted)
    }

    override suspend fun renewLease(lease: StoreLease): StoreResult<LeaseRenewal> {
        renewals += 1
        val answering = if (answersInPast) era - 1 else era
        // Another gateway's lease has the same number after a return.
        val valid = this.lease != null || era > 1
        return StoreResult.Success(LeaseRenewal(eraOf(answering), valid && !answersInPast))
    }
}
