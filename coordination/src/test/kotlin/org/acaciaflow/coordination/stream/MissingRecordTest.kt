package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.PoolBase
import kotlin.time.Clock
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Cases in which a stream has no record although it did not begin at the base that a take-up finds. */
class MissingRecordTest : AnnotationSpec() {
    /** Guards against a stream of two versions after a configuration has moved or split its route between two events. */
    @Test
    fun `a stream without a record does not go on at the base of a pool in which it did not begin`() =
        runTest {
            val store = FakeRecordStore()
            val gateways = List(2) { OriginGateway(this, store, it).apply { showServers(listOf(OLD, OLD)) } }
            advanceTimeBy(5.seconds)
            store.bases[OTHER_POOL] = PoolBase(NEW, eraOf(1)) to StoreRevision(eraOf(1), 100)
            gateways[0].began(stream(1), OLD)

            val origin = gateways[1].origins.originOf(stream(1), PLACE, OTHER_POOL)

            origin.shouldBeInstanceOf<StreamOrigin.Unknown>()
        }

    /** Guards against a stream of two versions that is taken up again after its record has expired. */
    @Test
    fun `a stream that goes on has a record for a lifetime from then on`() =
        runTest {
            val store = FakeRecordStore()
            val (first, second, third) = List(3) { gateway(store, it).apply { showServers(listOf(OLD)) } }
            advanceTimeBy(5.seconds)
            listOf(first, second, third).forEach { it.showServers(listOf(OLD, NEW)) }
            first.began(stream(0), NEW)
            advanceTimeBy(59.seconds)
            first.began(stream(1), NEW)
            first.kill()
            advanceTimeBy(49.seconds) // within the time limit of an attempt, each of which has its own
            second.versionOf(stream(1)) shouldBe NEW
            second.origins.wentOn(stream(1), SERVICE_POOL, NEW)
            advanceTimeBy(13.seconds)
            second.kill()

            store.expireLease(1)

            third.versionOf(stream(1)) shouldNotBe OLD
        }

    /** Guards against a base that is replaced because of what was known of it before the store returned from a copy. */
    @Test
    fun `a base is not replaced before its document has been read in the era of the store`() =
        runTest {
            val store = FakeRecordStore()
            val gateways = List(8) { gateway(store, it).apply { showServers(listOf(OLD, OLD)) } }
            advanceTimeBy(10.minutes)
            gateways.forEach { it.showServers(listOf(OLD, NEW, NEW)) }
            advanceTimeBy(5.seconds)
            gateways[0].began(stream(1), OLD)

            gateways.forEach { it.loseTouch(true) }
            store.returnFromEmptyCopy()
            gateways.forEach { it.eras.admit(eraOf(2), now()) }
            advanceTimeBy(9.seconds)
            gateways.forEach { it.loseTouch(false) }

            gateways[1].versionOf(stream(1)) shouldNotBe NEW
            store.baseOf(SERVICE_POOL) shouldBe OLD
        }

    /** Guards against a second base while gateways out of touch use one that the copy lacks. */
    @Test
    fun `a gateway that starts after a return does not name a base at once for a pool without one`() =
        runTest {
            val store = FakeRecordStore()
            val former = gateway(store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            former.showServers(listOf(OLD, NEW, NEW))
            former.began(stream(1), OLD)
            former.kill()

            store.returnFromEmptyCopy()
            store.bases.clear()
            val anew = OriginGateway(this, store, seed = 9, era = 2).apply { showServers(listOf(OLD, NEW, NEW)) }
            advanceTimeBy(3.seconds)

            anew.versionOf(stream(1)) shouldNotBe NEW
        }

    /** Guards against a base of a copy that is believed since a second copy shows it too. */
    @Test
    fun `a base that the store had only since its last return has not outlasted the next one`() {
        val tables = createRelayTables()
        val changes =
            LineageChanges(
                tables.versions,
                object : Clock {
                    override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000)
                },
            )
        changes.written(SERVICE_POOL, PoolBase(NEW, eraOf(1)), revisionAt(20, era = 1))
        changes.written(SERVICE_POOL, PoolBase(OLD, eraOf(1)), revisionAt(10, era = 2))

        changes.written(SERVICE_POOL, PoolBase(OLD, eraOf(1)), revisionAt(10, era = 3))

        tables.versions
            .snapshot()
            .lineages
            .getValue(SERVICE_POOL)
            .outlastedReturn shouldBe false
    }

    private fun TestScope.gateway(
        store: FakeRecordStore,
        seed: Int = 1,
    ) = OriginGateway(this, store, seed)

    private fun TestScope.now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + currentTime)

    private companion object {
        val OTHER_POOL = PoolName("other")
    }
}
