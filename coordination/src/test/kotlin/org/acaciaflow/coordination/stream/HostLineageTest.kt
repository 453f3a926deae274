package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.PoolBase
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Streams without a record began in the pool that the document of their host names. */
class HostLineageTest : AnnotationSpec() {
    /** Guards against streams of two versions after a configuration has moved a route to a pool with another base (ORDER). */
    @Test
    fun `a stream that begins behind a moved route has a record, and one that began before goes on nowhere else`() =
        runTest {
            val store = FakeRecordStore()
            store.bases[OTHER_POOL] = PoolBase(NEW, eraOf(1)) to StoreRevision(eraOf(1), 100)
            val gateways = List(2) { OriginGateway(this, store, it).apply { showServers(listOf(OLD, OLD)) } }
            advanceTimeBy(5.seconds)
            gateways[0].began(stream(1), OLD)

            gateways.forEach { it.route(OTHER_POOL) }
            advanceTimeBy(5.seconds)
            gateways[0].origins.began(stream(2), OTHER_POOL, NEW)
            gateways[0].kill()

            gateways[1].originIn(OTHER_POOL, 1).shouldBeInstanceOf<StreamOrigin.Unknown>()
            gateways[1]
                .originIn(OTHER_POOL, 2)
                .shouldBeInstanceOf<StreamOrigin.Known>()
                .proof.version shouldBe NEW
            store.records.size shouldBe 1
        }

    /** Guards against a second base of a host while a gateway that is out of touch goes on to use the first. */
    @Test
    fun `the base of a host is replaced only when no gateway uses the former one and no stream of it is left`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = OriginGateway(this, store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(2.minutes)
            gateway.route(OTHER_POOL)
            advanceTimeBy(11.seconds)
            val withdrawn = store.poolOf(HOST)

            advanceTimeBy(OriginPolicy.BASE_VALIDITY + 48.seconds)
            val before = store.poolOf(HOST)
            advanceTimeBy(24.seconds)

            listOf(withdrawn, before, store.poolOf(HOST)) shouldBe listOf(null, null, OTHER_POOL)
            gateway.observations.events shouldContain Event.HostBaseWithdrawn(HOST)
            gateway.observations.events shouldContain Event.HostBaseSet(HOST, OTHER_POOL)
        }

    /** Guards against records for each stream, for minutes, after a configuration that was taken back at once. */
    @Test
    fun `the base of a host that was set a short while ago stays while its routes lead elsewhere`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = OriginGateway(this, store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)

            gateway.route(OTHER_POOL)
            advanceTimeBy(30.seconds)

            store.poolOf(HOST) shouldBe SERVICE_POOL
        }

    private fun FakeRecordStore.poolOf(host: String): PoolName? = hosts[host]?.first?.pool

    private suspend fun OriginGateway.originIn(
        pool: PoolName,
        number: Int,
    ): StreamOrigin = origins.originOf(stream(number), HOST, pool)

    private companion object {
        val OTHER_POOL = PoolName("other")
    }
}
