package org.acaciaflow.coordination.store

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.table.SharedTable
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Watches the platform's store for the configuration, backend servers and other gateways.
 *
 * Entries that disappear while the store is unavailable stay in use for [StoreFreshness.DOUBT_AFTER_OUTAGE] after it
 * recovers. What can't be decoded holds back nothing else: when changes can't be taken in, all keys are read instead.
 */
class StoreWatcher(
    self: HostAddress,
    private val feed: ChangeFeed,
    documents: StoredDocuments,
    routing: RoutingUpdater,
    private val fleet: SharedTable<Fleet>,
    peers: SharedTable<Peers>,
    private val knowledge: SharedTable<StoreKnowledge>,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    @Volatile
    private var staleReportedAt: Instant? = null

    /** True once the first snapshot of the store has been applied. */
    @Volatile
    var synchronized: Boolean = false
        private set

    private val applier =
        StoreChangeApplier(self, documents, routing, fleet, peers, knowledge, observations, clock)

    private val reader = StoreReader(feed, onFailure = ::backOff, onPage = ::applyPage)

    /** Follows the store until cancelled; reads all keys again when it has lost its place among the changes. */
    suspend fun run() {
        var readsInARow = 0
        while (true) {
            delay(StoreReadPolicy.pauseBefore(readsInARow, random))
            when (val read = readAll()) {
                FullRead.Unavailable -> Unit
                FullRead.Unreadable -> readsInARow += 1
                is FullRead.Done -> readsInARow = if (follow(read.revision)) 1 else readsInARow + 1
            }
        }
    }

    /** Logs at [now] that the knowledge of the store is stale, once a [STALE_REPORT_INTERVAL] while it is. */
    fun reportStaleness(now: Instant) {
        val known = knowledge.snapshot()
        if (!StoreFreshness.isStale(known, now)) {
            staleReportedAt = null
            return
        }
        val reported = staleReportedAt
        if (reported != null && now - reported < STALE_REPORT_INTERVAL) return
        staleReportedAt = now
        observations.event(Event.StoreKnowledgeStale(known.revision, StoreFreshness.age(known, now) ?: return))
    }

    /** Removes the servers whose entries have lapsed for so long that they are taken as gone at [now]. */
    fun removeLapsedEntries(now: Instant) {
        val latest = StoreFreshness.latestCertainLapse(knowledge.snapshot(), now) ?: return
        if (fleet.snapshot().lapsed.isNotEmpty()) fleet.update { FleetChanges.lapsedRemoved(it, latest) }
    }

    /** Reads and applies all sections, except those that can't be decoded. */
    private suspend fun readAll(): FullRead {
        var revision: Long? = null
        for (section in feed.sections) {
            when (val read = reader.read(section)) {
                is SectionRead.Complete -> {
                    applier.removeAbsent(section, read.keys)
                    revision = minOf(revision ?: read.revision, read.revision)
                }

                is SectionRead.Unreadable -> {
                    observations.event(Event.StoreSectionUnreadable(section, read.reason))
                }

                SectionRead.Unavailable -> {
                    return FullRead.Unavailable
                }
            }
        }
        val known = revision ?: return FullRead.Unreadable
        knowledge.update { StoreFreshness.read(it, known, clock.now()) }
        synchronized = true
        return FullRead.Done(known)
    }

    /** Applies the changes after [start]; returns, when all keys must be read again, whether any answer came before. */
    private suspend fun follow(start: Long): Boolean {
        var revision = start
        var followed = false
        var failures = 0
        while (true) {
            when (val result = feed.changes(revision, WATCH_WAIT)) {
                is StoreResult.Failure -> {
                    failures += 1
                    backOff(result.reason)
                    when (StoreReadPolicy.afterFailedWatch(result.reason, failures)) {
                        AfterFailedWatch.ASK_AGAIN -> Unit
                        AfterFailedWatch.READ_ALL_KEYS -> {
                            observations.event(Event.StoreAnswerUnreadable(revision, result.reason))
                            return followed
                        }
                    }
                }

                is StoreResult.Success -> {
                    failures = 0
                    markAvailable()
                    when (val changes = result.value) {
                        StoreChanges.HistoryLost -> {
                            observations.event(Event.StoreHistoryLost(revision))
                            return followed
                        }

                        is StoreChanges.Batch -> {
                            if (changes.revision < revision) {
                                observations.event(Event.StoreHistoryLost(revision))
                                return followed
                            }
                            applyBatch(changes)
                            revision = changes.revision
                            followed = true
                            if (changes.changes.isNotEmpty()) delay(BATCH_PAUSE)
                        }
                    }
                }
            }
        }
    }

    private fun applyPage(page: StorePage) {
        markAvailable()
        fleet.update { FleetChanges.reorderedFor(it, page.revision) }
        page.items.forEach { applier.apply(it) }
    }

    private fun applyBatch(batch: StoreChanges.Batch) {
        batch.changes.forEach { applier.apply(it) }
        knowledge.update { StoreFreshness.answered(it, batch.revision, clock.now()) }
    }

    private fun markAvailable() {
        if (knowledge.snapshot().failingSince == null) return
        knowledge.update { StoreFreshness.available(it, clock.now()) }
        observations.event(Event.StoreAvailable)
    }

    private suspend fun backOff(reason: StoreFailure) {
        observations.storeFailed(reason)
        if (reason.storeAnswered) return markAvailable()
        if (knowledge.snapshot().failingSince == null) observations.event(Event.StoreUnavailable(reason))
        knowledge.update { StoreFreshness.failed(it, clock.now()) }
        delay(RETRY_DELAY + RETRY_JITTER * random.nextDouble())
    }

    private sealed interface FullRead {
        /** Everything that could be decoded is applied; later changes follow [revision]. */
        data class Done(
            val revision: Long,
        ) : FullRead

        data object Unreadable : FullRead

        data object Unavailable : FullRead
    }

    private companion object {
        val STALE_REPORT_INTERVAL: Duration = 60.seconds

        val WATCH_WAIT: Duration = 1500.milliseconds // detects a dead connection within the drain time
        val BATCH_PAUSE: Duration = 150.milliseconds // so that one call returns several changes
        val RETRY_DELAY: Duration = 150.milliseconds
        val RETRY_JITTER: Duration = 150.milliseconds
    }
}
