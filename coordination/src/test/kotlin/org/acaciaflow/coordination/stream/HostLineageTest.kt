package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.routing.RouteLookup
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.PoolBase
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Streams without a record began where the document of their host leads them. */
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
            gateway.observations.events
                .filterIsInstance<Event.HostBaseSet>()
                .size shouldBe 2
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

    /** Guards against a record for each stream, for minutes, after each configuration that adds or removes other routes. */
    @Test
    fun `the base of a host stays while any of its streams is led as before`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gatewayOfTwoPools(store)
            advanceTimeBy(2.minutes)

            gateway.tables.routing.update { known ->
                val routes = known.configuration.routesByHost.getValue(HOST)
                val added = route(RequestKind.Idempotent).copy(host = HOST, prefix = "/added/")
                val byHost = persistentMapOf(HOST to routes.removeAt(1).add(0, added))
                known.copy(configuration = known.configuration.copy(routesByHost = byHost))
            }
            advanceTimeBy(1.minutes)
            gateway.origins.began(streamAt(1, "/a/1"), SERVICE_POOL, OLD)

            store.hosts
                .getValue(HOST)
                .first.routes
                ?.size shouldBe 2
            store.batches shouldBe emptyList()
        }

    /** Guards against new streams that are refused while the store is away, since their host leads to a second pool as well. */
    @Test
    fun `streams at the base of each pool of a host begin while the store is away`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gatewayOfTwoPools(store)
            advanceTimeBy(10.seconds)

            store.failure = StoreFailure.UNREACHABLE
            gateway.tables.store.update { StoreFreshness.failed(it, now()) }
            advanceTimeBy(2.seconds)

            listOf(store.baseOf(SERVICE_POOL), store.baseOf(OTHER_POOL)) shouldBe listOf(OLD, NEW)
            val starts =
                listOf("/a/1" to SERVICE_POOL, "/b/1" to OTHER_POOL).map { (path, pool) ->
                    gateway.origins.startOf(streamAt(1, path), pool)
                }
            starts shouldBe listOf(OLD, NEW).map { StartVersions.Only(it) }
        }

    /** Guards against a record for each stream, for good, since its host leads to another pool as well. */
    @Test
    fun `streams at the base of each pool of a host cost no call`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = gatewayOfTwoPools(store)
            advanceTimeBy(30.minutes)

            repeat(20) { gateway.origins.began(streamAt(it, "/a/1"), SERVICE_POOL, OLD) }
            repeat(20) { gateway.origins.began(streamAt(20 + it, "/b/1"), OTHER_POOL, NEW) }

            store.batches shouldBe emptyList()
        }

    /** Guards against streams of two pools after a configuration has split their route (ORDER). */
    @Test
    fun `streams that a split leads elsewhere go on nowhere, and the others where they began`() =
        runTest {
            val store = FakeRecordStore()
            store.bases[OTHER_POOL] = PoolBase(NEW, eraOf(1)) to StoreRevision(eraOf(1), 100)
            val gateways = List(2) { OriginGateway(this, store, it).apply { showServers(listOf(OLD, OLD)) } }
            advanceTimeBy(5.seconds)
            repeat(40) { gateways[0].began(stream(it), OLD) }

            val halves = persistentListOf(Destination(SERVICE_POOL, 1), Destination(OTHER_POOL, 1))
            gateways.forEach { it.route(halves) }
            advanceTimeBy(5.seconds)
            val pools = (0 until 40).map { RouteLookup.poolOf(halves, stream(it).requestId) }
            val origins = pools.withIndex().map { (number, pool) -> gateways[1].originIn(pool, number) }

            pools.toSet() shouldBe setOf(SERVICE_POOL, OTHER_POOL)
            origins.map { (it as? StreamOrigin.Known)?.proof?.version } shouldBe
                pools.map { if (it == SERVICE_POOL) OLD else null }
            store.batches shouldBe emptyList()
        }

    private fun TestScope.gatewayOfTwoPools(store: FakeRecordStore): OriginGateway {
        val gateway = OriginGateway(this, store).apply { showServers(listOf(OLD)) }
        gateway.tables.fleet.update { fleet ->
            val other = backend("other", OTHER_POOL).copy(software = NEW)
            FleetChanges.registered(fleet, other, revisionAt(100))
        }
        gateway.tables.routing.update { known ->
            val routes =
                listOf("/a/" to SERVICE_POOL, "/b/" to OTHER_POOL).map { (prefix, pool) ->
                    route(RequestKind.EventStream(resumable = true), pool).copy(host = HOST, prefix = prefix)
                }
            val byHost = persistentMapOf(HOST to routes.toPersistentList())
            known.copy(configuration = known.configuration.copy(routesByHost = byHost))
        }
        return gateway
    }

    private fun TestScope.now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + currentTime)

    private fun streamAt(
        number: Int,
        path: String,
    ) = StreamIdentity("attempt-$number", StreamPlace(HOST, path))

    private fun FakeRecordStore.poolOf(host: String): PoolName? =
        hosts[host]
            ?.first
            ?.routes
            ?.single()
            ?.destinations
            ?.single()
            ?.pool

    private suspend fun OriginGateway.originIn(
        pool: PoolName,
        number: Int,
    ): StreamOrigin = origins.originOf(stream(number), PLACE, pool)

    private companion object {
        val OTHER_POOL = PoolName("other")
    }
}
