package org.acaciaflow.coordination.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.StoreChange
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreItem
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.store.StoreRevision
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The era of a store before and after its return from a copy. */
internal const val FORMER = 3L
internal const val NEW = 4L

internal fun entry(
    instance: String,
    revision: Long,
    era: Long = NEW,
    state: String = "ready",
) = StoreItem.Written(StoreKey("backend/$instance"), state.encodeToByteString(), revisionAt(revision, era))

internal fun configuration(
    version: Long,
    revision: Long,
    era: Long = NEW,
) = StoreItem.Written(StoreKey("configuration"), "$version".encodeToByteString(), revisionAt(revision, era))

internal fun removal(
    instance: String,
    revision: Long,
    era: Long = NEW,
) = StoreChange.Removed(StoreKey("backend/$instance"), revisionAt(revision, era))

internal fun page(
    era: Long?,
    revision: Long,
    vararg items: StoreItem,
) = StoreResult.Success(StorePage(items.toList().toPersistentList(), revisionAt(revision, era), next = null))

internal fun changes(
    revision: Long,
    vararg changes: StoreChange,
    era: Long = NEW,
) = StoreResult.Success(StoreChanges.Batch(changes.toList().toPersistentList(), revisionAt(revision, era)))

/** A store that gives the answers in [pages] and [watches] in order, and then none; follows it with a [StoreWatcher]. */
internal class ReturningStore(
    private val scope: TestScope,
    pages: List<StoreResult<StorePage>>,
    watches: List<StoreResult<StoreChanges>>,
    override val sections: PersistentList<StoreKey> = persistentListOf(StoreKey("backend/")),
) : ChangeFeed {
    private val pages = pages.toMutableList()
    private val watches = watches.toMutableList()
    private val clock =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + scope.currentTime)
        }

    /** How long each watch would wait, in order. */
    val waits = mutableListOf<Duration>()
    val tables = createRelayTables()
    val observations = FakeObservations()
    private val eras = StoreEraTracker(tables.store)

    private val lapsedEntries = LapsedEntryRemoval(tables.fleet, tables.store, clock)

    private val watcher =
        StoreWatcher(
            self = HostAddress("10.0.0.1", 1),
            feed = this,
            eras = eras,
            documents = PlainDocuments,
            routing = RoutingUpdater(PlainDocuments, tables.routing, observations),
            fleet = tables.fleet,
            peers = tables.peers,
            knowledge = tables.store,
            versions = tables.versions,
            observations = observations,
            clock = clock,
            random = Random(1),
        )

    override suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage> = pages.removeFirstOrNull() ?: awaitCancellation()

    override suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> {
        waits += wait
        return watches.removeFirstOrNull() ?: awaitCancellation()
    }

    /** Follows the store for a while. */
    fun follow(time: Duration = 1.seconds): ReturningStore {
        scope.backgroundScope.launch { watcher.run() }
        pass(time)
        return this
    }

    /** Shows the new era in an answer to another call. */
    fun showNewEra() {
        eras.admit(eraOf(NEW), clock.now())
    }

    fun pass(time: Duration) {
        scope.advanceTimeBy(time)
        lapsedEntries.removeDue(clock.now())
    }

    /** The servers to which new work may be sent. */
    fun usable(): List<String> =
        tables.fleet
            .snapshot()
            .usableIn(SERVICE_POOL)
            .map { it.life.instance }
            .sorted()

    fun lives(): List<Long> =
        tables.fleet
            .snapshot()
            .usableIn(SERVICE_POOL)
            .map { it.life.startedAtMilliseconds }

    fun version(): Long =
        tables.routing
            .snapshot()
            .configuration.version
}
