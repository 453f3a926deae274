package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StoredStreamOriginsTest : AnnotationSpec() {
    /** Guards against streams that are joined from two versions after all gateways were killed at once. */
    @Test
    fun `a gateway that starts after all others were killed knows at which version each stream began`() =
        runTest {
            val store = FakeRecordStore()
            val former = List(2) { gateway(store, it) }
            former.forEach { it.showServers(listOf(OLD, OLD)) }
            advanceTimeBy(5.seconds)
            former.forEach { it.showServers(listOf(OLD, OLD, NEW)) }
            former[0].began(stream(1), OLD)
            former[1].began(stream(2), NEW)

            former.forEach { it.kill() }
            val anew = gateway(store, seed = 9).apply { showServers(listOf(OLD, NEW)) }
            advanceTimeBy(1.seconds)

            anew.versionOf(stream(1)) shouldBe OLD
            anew.versionOf(stream(2)) shouldBe NEW
        }

    /** Guards against streams of the old version that go on at the new one, the only one that a new gateway sees. */
    @Test
    fun `a gateway that sees only the new version does not take a stream of the old one for one of the new`() =
        runTest {
            val store = FakeRecordStore()
            val former = gateway(store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            former.began(stream(1), OLD)
            former.kill()

            val anew = gateway(store, seed = 9).apply { showServers(listOf(NEW)) }
            advanceTimeBy(1.seconds)

            anew.versionOf(stream(1)) shouldBe OLD
        }

    /** Guards against store calls on the way of each stream, of which a store carries only some hundred a second. */
    @Test
    fun `nothing is written or read for new streams of a pool that has had one version only`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gateway(store).apply { showServers(listOf(OLD, OLD)) }
            advanceTimeBy(2.minutes)

            val begins = List(100) { gateway.began(stream(it), OLD) }

            begins shouldBe List(100) { true }
            store.batches shouldBe emptyList()
            store.lookups shouldBe 0
        }

    /** Guards against a read for each stream when many are taken up at once, as after a kill of all gateways. */
    @Test
    fun `one read answers all take-ups that arrive while another is in flight`() =
        runTest {
            val store = FakeRecordStore(latency = 50.milliseconds)
            val gateways = List(2) { gateway(store, it).apply { showServers(listOf(OLD, OLD)) } }
            advanceTimeBy(5.seconds)
            repeat(17) { gateways[0].began(stream(it), OLD) }

            val origins = (0 until 17).map { async { gateways[1].versionOf(stream(it)) } }.awaitAll()

            origins shouldBe List(17) { OLD }
            store.lookups shouldBe 2
        }

    /** Guards against a gateway that takes the only version it knows for the one that began each stream. */
    @Test
    fun `a gateway out of touch with the store does not take the version it knows for that of a stream`() =
        runTest {
            val store = FakeRecordStore()
            val (inTouch, outOfTouch) = List(2) { gateway(store, it).apply { showServers(listOf(OLD, OLD)) } }
            advanceTimeBy(2.minutes)
            outOfTouch.loseTouch(true)
            inTouch.showServers(listOf(OLD, OLD, NEW))
            inTouch.began(stream(1), NEW)
            inTouch.began(stream(2), OLD)

            val answered = List(2) { outOfTouch.versionOf(stream(it + 1)) }
            store.failure = StoreFailure.TIMED_OUT
            val unanswered = List(2) { outOfTouch.versionOf(stream(it + 1)) }

            answered shouldBe listOf(NEW, OLD)
            unanswered shouldBe listOf(null, null)
        }

    /** Guards against the same where only the gateway that began the streams is out of touch. */
    @Test
    fun `a stream at another version passes on no event while the store does not answer`() =
        runTest {
            val store = FakeRecordStore()
            val gateways = List(2) { gateway(store, it).apply { showServers(listOf(OLD, NEW, NEW)) } }
            advanceTimeBy(5.seconds)
            val base = checkNotNull(store.baseOf(SERVICE_POOL))
            val other = if (base == OLD) NEW else OLD
            store.failure = StoreFailure.TIMED_OUT

            val begins = listOf(base, other).map { gateways[0].began(stream(1), it) }

            begins shouldBe listOf(true, false)
        }

    /** Guards against streams that begin without a record while another gateway replaces the base. */
    @Test
    fun `a gateway that has not heard of the store for longer than a base holds records each stream`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gateway(store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            gateway.loseTouch(true)

            advanceTimeBy(OriginPolicy.BASE_VALIDITY - 1.seconds)
            gateway.began(stream(1), OLD)
            val before = store.records.size
            advanceTimeBy(2.seconds)
            gateway.began(stream(2), OLD)

            before shouldBe 0
            store.records.size shouldBe 1
        }

    @Test
    fun `a stream at another version than the base is stored before its first event is passed on`() =
        runTest {
            val store = FakeRecordStore(latency = 50.milliseconds)
            val gateway = gateway(store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            gateway.showServers(listOf(OLD, NEW))

            gateway.began(stream(1), NEW)

            store.records.values.map { it.version } shouldBe listOf(NEW)
        }

    /** Guards against a first event that waits for long, or is passed on although a take-up elsewhere can't know of it. */
    @Test
    fun `a stream whose record can't be stored is given up after a second, and new ones begin at the base meanwhile`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gateway(store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            gateway.showServers(listOf(OLD, NEW))
            store.failure = StoreFailure.REJECTED
            val startedAt = currentTime

            val begins = gateway.began(stream(1), NEW)
            val waited = currentTime - startedAt
            val meanwhile = gateway.origins.startOf(stream(1), SERVICE_POOL)
            gateway.showServers(listOf(NEW))
            val withoutBase = gateway.origins.startOf(stream(1), SERVICE_POOL)
            store.failure = null
            advanceTimeBy(1.seconds)

            begins shouldBe false
            waited shouldBe 1_000
            meanwhile shouldBe StartVersions.Only(OLD)
            withoutBase shouldBe StartVersions.None(500.milliseconds)
            gateway.origins.startOf(stream(1), SERVICE_POOL) shouldBe StartVersions.Any
            gateway.observations.recordOutcomes shouldBe
                listOf(StreamRecordOutcome.GIVEN_UP, StreamRecordOutcome.WRITTEN)
        }

    @Test
    fun `an origin that can't be read is unknown for a moment`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gateway(store).apply { showServers(listOf(OLD, NEW)) }
            advanceTimeBy(5.seconds)
            store.failure = StoreFailure.REJECTED

            val origin = gateway.originOf(stream(1))

            origin shouldBe StreamOrigin.Unknown(500.milliseconds, OriginLookup.UNAVAILABLE)
            gateway.observations.lookups shouldBe listOf(OriginLookup.UNAVAILABLE)
        }

    /** Guards against a stream that goes on in a pool whose servers know nothing of it. */
    @Test
    fun `a stream of another pool is unknown`() =
        runTest {
            val store = FakeRecordStore()
            val gateways = List(2) { gateway(store, it).apply { showServers(listOf(OLD, NEW)) } }
            advanceTimeBy(5.seconds)
            val base = checkNotNull(store.baseOf(SERVICE_POOL))
            gateways[0].began(stream(1), if (base == OLD) NEW else OLD)

            val origin = gateways[1].origins.originOf(stream(1), PLACE, PoolName("other"))

            origin shouldBe StreamOrigin.Unknown(null)
        }

    /** Guards against a take-up of a client that does not name its stream, which goes on at any version. */
    @Test
    fun `a stream that is not named is unknown while any stream has a record, and began at the base otherwise`() =
        runTest {
            val store = FakeRecordStore()
            val gateways = List(2) { gateway(store, it).apply { showServers(listOf(OLD, NEW)) } }
            advanceTimeBy(5.seconds)
            val base = checkNotNull(store.baseOf(SERVICE_POOL))

            val without = gateways[1].versionOf(null)
            gateways[0].began(stream(1), if (base == OLD) NEW else OLD)
            val with = gateways[1].origins.originOf(null, PLACE, SERVICE_POOL)

            without shouldBe base
            with shouldBe StreamOrigin.Unknown(null)
        }

    /** Guards against streams whose records were lost with the copy and that count as begun at the base. */
    @Test
    fun `after a return of the store live gateways write their records again, and other streams are unknown`() =
        runTest {
            val store = FakeRecordStore()
            val (writing, looking, killed) = List(3) { gateway(store, it).apply { showServers(listOf(OLD)) } }
            advanceTimeBy(5.seconds)
            listOf(writing, looking, killed).forEach { it.showServers(listOf(OLD, NEW)) }
            writing.began(stream(1), NEW)
            killed.began(stream(2), NEW)
            killed.kill()

            store.returnFromEmptyCopy()
            listOf(writing, looking).forEach { it.eras.admit(eraOf(2), now()) }
            advanceTimeBy(2.seconds)

            looking.versionOf(stream(1)) shouldBe NEW
            looking.originOf(stream(2)).shouldBeInstanceOf<StreamOrigin.Unknown>()
        }

    private fun TestScope.gateway(
        store: FakeRecordStore,
        seed: Int = 1,
    ) = OriginGateway(this, store, seed)

    private fun TestScope.now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + currentTime)
}
