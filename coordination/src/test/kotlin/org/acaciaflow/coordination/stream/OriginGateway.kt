package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.RoutingConfiguration
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val OLD = SoftwareVersion("1.0")
internal val NEW = SoftwareVersion("2.0")

internal const val HOST = "service.example"
internal val PLACE = StreamPlace(HOST, "/calls/1")

internal fun stream(number: Int) = StreamIdentity("attempt-$number", PLACE)

/** A gateway that keeps origins in [store]; what it knows of servers is set by the test, and [HOST] leads to their pool. */
internal class OriginGateway(
    private val scope: TestScope,
    private val store: FakeRecordStore,
    seed: Int = 1,
    era: Long = 1,
) {
    private val job = Job(scope.backgroundScope.coroutineContext[Job])
    private val processes = CoroutineScope(scope.backgroundScope.coroutineContext + job)
    private val clock =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + scope.currentTime)
        }
    val observations = FakeObservations()
    val tables = createRelayTables()
    val eras = StoreEraTracker(tables.store)
    val writer =
        StreamRecordWriter(store, store, eras, tables.routing, observations, clock, Random(seed))
    private val reader = StreamRecordReader(store, eras, clock)
    val origins = StoredStreamOrigins(tables, store, reader, writer, eras, observations, clock)
    private val keeper = VersionKeeper(tables, store, writer, eras, observations, clock, Random(seed))
    private var revision = 0L
    private var outOfTouch = false

    init {
        eras.admit(eraOf(era), clock.now())
        tables.store.update { StoreFreshness.read(it, revisionAt(1, era), clock.now()) }
        route(SERVICE_POOL)
        processes.launch { writer.run() }
        processes.launch { reader.run() }
        processes.launch { keeper.run() }
        processes.launch { follow() }
    }

    /** Leads the streams of [HOST] to [pool]. */
    fun route(pool: PoolName) = route(persistentListOf(Destination(pool, 1)))

    /** Leads the streams of [HOST] to [destinations]. */
    fun route(destinations: PersistentList<Destination>) {
        val route =
            route(RequestKind.EventStream(resumable = true))
                .copy(host = HOST, timeout = 50.seconds, destinations = destinations)
        val routes = persistentMapOf(HOST to persistentListOf(route))
        val configuration = RoutingConfiguration.NONE.copy(version = 1, routesByHost = routes)
        tables.routing.update { KnownRouting(configuration, ByteString()) }
    }

    /** Ends all that the gateway does, and what it remembers is of no use to others. */
    fun kill() = job.cancel()

    /** Registers a server of each version; those registered before are removed. */
    fun showServers(versions: List<SoftwareVersion>) {
        tables.fleet.update { known ->
            val left = known.entries.keys.fold(known) { rest, instance -> FleetChanges.removed(rest, instance) }
            versions.withIndex().fold(left) { rest, (index, version) ->
                revision += 1
                val entry = backend("server-$index-${version.name}").copy(software = version)
                FleetChanges.registered(rest, entry, revisionAt(revision, era = 1))
            }
        }
    }

    suspend fun began(
        stream: StreamIdentity,
        version: SoftwareVersion,
    ): Boolean = origins.began(stream, SERVICE_POOL, version)

    suspend fun originOf(stream: StreamIdentity): StreamOrigin = origins.originOf(stream, PLACE, SERVICE_POOL)

    /** The version at which [stream] began; null if that can't be proved. */
    suspend fun versionOf(stream: StreamIdentity?): SoftwareVersion? =
        when (val origin = origins.originOf(stream, PLACE, SERVICE_POOL)) {
            is StreamOrigin.Known -> origin.proof.version
            is StreamOrigin.Unknown -> null
        }

    /** What the gateway hears from the store stands still until this is called again with false. */
    fun loseTouch(lost: Boolean) {
        outOfTouch = lost
    }

    /** Brings the base versions as a watch of the store does, and confirms that it answers. */
    private suspend fun follow() {
        val lineages = LineageChanges(tables.versions, clock)
        while (true) {
            if (store.failure == null && !outOfTouch) {
                store.bases.forEach { (pool, base) -> lineages.written(pool, base.first, base.second) }
                store.hosts.forEach { (host, base) -> lineages.written(host, base.first, base.second) }
                tables.store.update { StoreFreshness.answered(it, revisionAt(1, era = 1), clock.now()) }
            }
            delay(20.milliseconds)
        }
    }
}
