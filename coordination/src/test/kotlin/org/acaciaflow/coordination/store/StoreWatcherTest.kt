package org.acaciaflow.coordination.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.DocumentFault
import org.acaciaflow.coordination.port.StoreChange
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreItem
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StoredKeyKind
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.virtualClock
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StoreWatcherTest : AnnotationSpec() {
    private val entry = written("backend/one", "ready")
    private val removal = StoreChange.Removed(StoreKey("backend/one"), revisionAt(2))

    @Test
    fun `an entry that is removed while the store is available is not used any more`() =
        runTest {
            val tables = createRelayTables()

            watch(tables, snapshot(entry), batch(removal))

            usable(tables) shouldBe 0
        }

    @Test
    fun `an entry that lapsed during an outage stays in use for two seconds after it`() =
        runTest {
            val tables = createRelayTables()
            val outage = StoreResult.Failure(StoreFailure.TIMED_OUT)

            val watcher = watch(tables, snapshot(entry), outage, snapshot())
            removeLapsed(tables)
            val duringGrace = usable(tables)
            advanceTimeBy(3.seconds)
            removeLapsed(tables)

            duringGrace shouldBe 1
            usable(tables) shouldBe 0
        }

    /** Guards against servers that have left and stay in use for good beside a store that fails every second. */
    @Test
    fun `an entry that lapsed is not used ten seconds later although the store fails every second`() =
        runTest {
            val tables = createRelayTables()
            val failure = StoreResult.Failure(StoreFailure.REJECTED)
            val nothing = StoreResult.Success(StoreChanges.Batch(persistentListOf(), revisionAt(2)))
            val flapping = List(FLAPS) { listOf(failure, nothing) }.flatten()

            val watcher =
                watch(
                    tables,
                    snapshot(entry),
                    failure,
                    batch(removal),
                    *flapping.toTypedArray(),
                    pace = 500.milliseconds,
                )
            val used = List(24) { usableAfter(tables, 500.milliseconds) }

            used.take(10) shouldBe List(10) { 1 }
            used.last() shouldBe 0
        }

    private fun TestScope.usableAfter(
        tables: RelayTables,
        wait: Duration,
    ): Int {
        advanceTimeBy(wait)
        removeLapsed(tables)
        return usable(tables)
    }

    @Test
    fun `an entry that is registered again within the grace period stays in use`() =
        runTest {
            val tables = createRelayTables()
            val outage = StoreResult.Failure(StoreFailure.REJECTED)

            val watcher = watch(tables, snapshot(entry), outage, batch(removal), batch(entry))
            advanceTimeBy(3.seconds)
            removeLapsed(tables)

            usable(tables) shouldBe 1
        }

    @Test
    fun `a new snapshot brings the changes that the lost history contained`() =
        runTest {
            val tables = createRelayTables()
            val lost = StoreResult.Success(StoreChanges.HistoryLost(StoreEra.Unknown))

            watch(
                tables,
                snapshot(entry, written("configuration", "3")),
                lost,
                snapshot(written("configuration", "7")),
            )

            usable(tables) shouldBe 0
            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
        }

    /** Guards against a gateway that asks for the same changes for good although it can't take their answer in. */
    @Test
    fun `changes whose answer cannot be taken in are replaced by a read of all keys`() =
        runTest {
            for (reason in listOf(StoreFailure.MALFORMED_ANSWER, StoreFailure.ANSWER_TOO_LARGE)) {
                val tables = createRelayTables()

                val known = snapshot(entry, written("configuration", "3"))
                val read = snapshot(written("configuration", "7"))
                watch(tables, known, StoreResult.Failure(reason), read)

                usable(tables) shouldBe 0
                tables.routing
                    .snapshot()
                    .configuration.version shouldBe 7
            }
        }

    @Test
    fun `changes whose answer is lost twice are replaced by a read of all keys`() =
        runTest {
            val tables = createRelayTables()
            val lost = StoreResult.Failure(StoreFailure.ANSWER_LOST)

            watch(tables, snapshot(entry), lost, lost, snapshot(entry, written("configuration", "7")))

            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
        }

    @Test
    fun `a change that a page has shown already is not undone by older changes of the watch`() =
        runTest {
            val tables = createRelayTables()
            val current = written("backend/one", "ready", revision = 5)
            val older = written("backend/one", "?", revision = 3)
            val removed = StoreChange.Removed(StoreKey("backend/one"), revisionAt(4))

            watch(tables, snapshot(current, revision = 2), batch(older), batch(removed))

            usable(tables) shouldBe 1
        }

    /** Guards against a gateway that never learns of a change that the store's watch left out. */
    @Test
    fun `a change that the watch does not bring is known after the next read of all keys`() =
        runTest {
            val tables = createRelayTables()
            val first = snapshot(entry)
            val second = snapshot(written("configuration", "7", revision = 5), revision = 9)

            follow(tables, SilentFeed(mutableListOf(first, second)))
            val before = usable(tables)
            advanceTimeBy(40.seconds)

            before shouldBe 1
            usable(tables) shouldBe 0
            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
        }

    /** Guards against a gateway that gives up a sound watch because a read of all keys fails. */
    @Test
    fun `changes are followed although the reads of all keys fail`() =
        runTest {
            for (reason in StoreFailure.entries) {
                val tables = createRelayTables()

                follow(tables, UnreadableFeed(snapshot(entry), StoreResult.Failure(reason)))
                advanceTimeBy(60.seconds)
                val before =
                    tables.store
                        .snapshot()
                        .revision.number
                advanceTimeBy(10.seconds)

                usable(tables) shouldBe 1
                (
                    tables.store
                        .snapshot()
                        .revision.number - before >= 3
                ) shouldBe true
            }
        }

    @Test
    fun `a store whose revision went back is read again`() =
        runTest {
            val tables = createRelayTables()
            val back = StoreResult.Success(StoreChanges.Batch(persistentListOf(), revisionAt(0)))

            watch(tables, snapshot(entry), back, snapshot(entry, written("configuration", "7")))

            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
        }

    /** Guards against a late answer of a history that the store has left, which is taken for its present state. */
    @Test
    fun `an answer of a past era is not applied and asked for again`() =
        runTest {
            val tables = createRelayTables()
            val past = written("backend/one", "?", revision = 90, era = 3)

            watch(
                tables,
                snapshot(written("backend/one", "ready", era = 4), era = 4),
                batch(past),
                StoreResult.Success(StoreChanges.HistoryLost(StoreEra.Numbered(4))),
                snapshot(past, revision = 90, era = 3),
                snapshot(written("backend/one", "ready", era = 4), era = 4),
                batch(written("configuration", "7", revision = 2, era = 4)),
            )

            usable(tables) shouldBe 1
            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
            tables.store.snapshot().revision shouldBe revisionAt(2, era = 4)
        }

    @Test
    fun `a configuration never reverts to an older version`() =
        runTest {
            val tables = createRelayTables()

            watch(
                tables,
                snapshot(written("configuration", "7")),
                batch(written("configuration", "5")),
                batch(written("configuration", "garbage")),
            )

            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
        }

    @Test
    fun `an unreadable entry adds no server and does not affect the others`() =
        runTest {
            val tables = createRelayTables()

            watch(tables, snapshot(entry, written("backend/second", "ready"), written("backend/third", "?")))

            usable(tables) shouldBe 2
        }

    @Test
    fun `an item that cannot be decoded removes its server and holds back nothing`() =
        runTest {
            val tables = createRelayTables()
            val unreadable = StoreItem.Unreadable(StoreKey("backend/one"), revisionAt(2), DocumentFault("value"))
            val later = written("configuration", "7")

            watch(tables, snapshot(entry, written("backend/second", "ready")), batch(unreadable), batch(later))

            usable(tables) shouldBe 1
            tables.store.snapshot().unreadable shouldBe 1
            tables.routing
                .snapshot()
                .configuration.version shouldBe 7
        }

    private fun TestScope.watch(
        tables: RelayTables,
        vararg answers: StoreResult<Any>,
        pace: Duration = Duration.ZERO,
    ): StoreWatcher = follow(tables, ScriptedFeed(answers.toMutableList(), pace))

    private fun TestScope.follow(
        tables: RelayTables,
        feed: ChangeFeed,
    ): StoreWatcher {
        val observations = FakeObservations()
        val watcher =
            StoreWatcher(
                self = HostAddress("10.0.0.1", 1),
                feed = feed,
                eras = StoreEraTracker(tables.store),
                documents = PlainDocuments,
                routing = RoutingUpdater(PlainDocuments, tables.routing, observations),
                fleet = tables.fleet,
                peers = tables.peers,
                knowledge = tables.store,
                versions = tables.versions,
                observations = observations,
                clock =
                    object : Clock {
                        override fun now(): Instant = this@follow.now()
                    },
                random = Random(1),
            )
        backgroundScope.launch { watcher.run() }
        advanceTimeBy(1.5.seconds)
        return watcher
    }

    private fun TestScope.removeLapsed(tables: RelayTables) =
        LapsedEntryRemoval(tables.fleet, tables.store, virtualClock()).removeDue(now())

    private fun TestScope.now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + currentTime)

    private fun usable(tables: RelayTables): Int =
        tables.fleet
            .snapshot()
            .usableIn(SERVICE_POOL)
            .size

    private fun written(
        key: String,
        text: String,
        revision: Long = 1,
        era: Long? = null,
    ) = StoreItem.Written(StoreKey(key), text.encodeToByteString(), revisionAt(revision, era))

    private fun snapshot(
        vararg values: StoreItem,
        revision: Long = 1,
        era: Long? = null,
    ) = StoreResult.Success(StorePage(values.toList().toPersistentList(), revisionAt(revision, era), next = null))

    private fun batch(change: StoreChange) =
        StoreResult.Success(
            StoreChanges.Batch(
                persistentListOf(change),
                change.revision.copy(number = maxOf(2, change.revision.number)),
            ),
        )

    private companion object {
        const val FLAPS = 30
    }
}

/** A store that returns the given answers in order, each after [pace], and then suspends. */
private class ScriptedFeed(
    private val answers: MutableList<StoreResult<Any>>,
    private val pace: Duration,
) : ChangeFeed {
    override val sections: PersistentList<StoreKey> = persistentListOf(StoreKey("backend/"))

    @Suppress("UNCHECKED_CAST")
    override suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage> = next() as StoreResult<StorePage>

    @Suppress("UNCHECKED_CAST")
    override suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> = next() as StoreResult<StoreChanges>

    private suspend fun next(): StoreResult<Any> {
        delay(pace)
        return if (answers.isEmpty()) awaitCancellation() else answers.removeAt(0)
    }
}

/** A store that returns the given pages in order, and whose watches answer once a second without a change. */
private class SilentFeed(
    private val pages: MutableList<StoreResult<StorePage>>,
) : ChangeFeed {
    override val sections: PersistentList<StoreKey> = persistentListOf(StoreKey("backend/"))

    override suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage> = pages.removeAt(0)

    override suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> {
        delay(1.seconds)
        return StoreResult.Success(StoreChanges.Batch(persistentListOf(), revision))
    }
}

/** A store whose first page is [first] and whose further pages fail; its watches bring a change a second. */
private class UnreadableFeed(
    private val first: StoreResult<StorePage>,
    private val further: StoreResult<StorePage>,
) : ChangeFeed {
    private var pages = 0

    override val sections: PersistentList<StoreKey> = persistentListOf(StoreKey("backend/"))

    override suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage> {
        pages += 1
        return if (pages == 1) first else further
    }

    override suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> {
        delay(1.seconds)
        return StoreResult.Success(StoreChanges.Batch(persistentListOf(), revision.copy(number = revision.number + 1)))
    }
}

/** Decodes documents whose text is an entry's state or a configuration's version. */
internal object PlainDocuments : StoredDocuments {
    override fun kindOf(key: StoreKey): StoredKeyKind =
        when {
            key.path == "configuration" -> StoredKeyKind.Configuration
            key.path.startsWith("versions/") -> StoredKeyKind.Lineage(PoolName(key.path.substringAfter('/')))
            else -> StoredKeyKind.Backend(key.path.substringAfter('/'))
        }

    override fun readEntry(
        instance: String,
        document: ByteString,
    ): Decoded<BackendEntry> =
        when (document.decodeToString()) {
            "ready" -> Decoded.Valid(backend(instance))
            "draining" -> Decoded.Valid(backend(instance, draining = true))
            "restarted" -> Decoded.Valid(backend(instance, startedAt = 2))
            else -> Decoded.Invalid(DocumentFault("state"))
        }

    override fun readConfiguration(document: ByteString): Decoded<RoutingConfiguration> {
        val version = document.decodeToString().toLongOrNull() ?: return Decoded.Invalid(DocumentFault("version"))
        return Decoded.Valid(RoutingConfiguration.NONE.copy(version = version))
    }

    override fun readBase(document: ByteString): Decoded<PoolBase> =
        Decoded.Valid(PoolBase(SoftwareVersion(document.decodeToString()), StoreEra.Unknown))

    override fun readHostBase(document: ByteString): Decoded<HostBase> =
        Decoded.Valid(HostBase(persistentListOf(), StoreEra.Unknown))
}
