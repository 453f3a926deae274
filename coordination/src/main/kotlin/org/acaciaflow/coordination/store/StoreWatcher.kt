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
                is FullRead.Done -> readsInARow = readsAfter(follow(read), readsInARow)
            }
        }
    }

    private fun readsAfter(
        end: EndOfFollowing,
        reads: Int,
    ): Int =
        when (end) {
            EndOfFollowing.ReadDue -> 0
            is EndOfFollowing.PlaceLost -> if (end.followed) 1 else reads + 1
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
        var complete = true
        for (section in feed.sections) {
            when (val read = reader.read(section)) {
                is SectionRead.Complete -> {
                    applier.removeAbsent(section, read.keys)
                    revision = minOf(revision ?: read.revision, read.revision)
                }

                is SectionRead.Unreadable -> {
                    observations.event(Event.StoreSectionUnreadable(section, read.reason))
                    complete = false
                }

                SectionRead.Unavailable -> {
                    return FullRead.Unavailable
                }
            }
        }
        val known = revision ?: return FullRead.Unreadable
        val now = clock.now()
        knowledge.update { StoreFreshness.read(it, known, now) }
        synchronized = true
        return FullRead.Done(known, nextReadAt = now + StoreReadPolicy.readInterval(complete, random))
    }

    /** Applies the changes since [read] until all keys must be read again. */
    private suspend fun follow(read: FullRead.Done): EndOfFollowing {
        var revision = read.revision
        var failures = 0
        while (clock.now() < read.nextReadAt) {
            when (val result = feed.changes(revision, WATCH_WAIT)) {
                is StoreResult.Failure -> {
                    failures += 1
                    backOff(result.reason)
                    when (StoreReadPolicy.afterFailedWatch(result.reason, failures)) {
                        AfterFailedWatch.ASK_AGAIN -> Unit
                        AfterFailedWatch.READ_ALL_KEYS -> {
                            observations.event(Event.StoreAnswerUnreadable(revision, result.reason))
                            return EndOfFollowing.PlaceLost(followed = revision > read.revision)
                        }
                    }
                }

                is StoreResult.Success -> {
                    failures = 0
                    markAvailable()
                    val next = revisionAfter(result.value, revision)
                    if (next == null) {
                        observations.event(Event.StoreHistoryLost(revision))
                        return EndOfFollowing.PlaceLost(followed = revision > read.revision)
                    }
                    revision = next
                }
            }
        }
        return EndOfFollowing.ReadDue
    }

    /** Applies [changes] after [revision]; returns the revision to go on from, or null if all keys must be read. */
    private suspend fun revisionAfter(
        changes: StoreChanges,
        revision: Long,
    ): Long? =
        when (changes) {
            StoreChanges.HistoryLost -> {
                null
            }

            is StoreChanges.Batch -> {
                if (changes.revision < revision) return null
                changes.changes.forEach { applier.apply(it) }
                knowledge.update { StoreFreshness.answered(it, changes.revision, clock.now()) }
                if (changes.changes.isNotEmpty()) delay(BATCH_PAUSE)
                changes.revision
            }
        }

    private fun applyPage(page: StorePage) {
        markAvailable()
        fleet.update { FleetChanges.reorderedFor(it, page.revision) }
        val followed = knowledge.snapshot().revision
        page.items.forEach { item ->
            applier.reportMissed(item, followed)
            applier.apply(item)
        }
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
        /** Everything that could be decoded is applied; later changes follow [revision] until [nextReadAt]. */
        data class Done(
            val revision: Long,
            val nextReadAt: Instant,
        ) : FullRead

        data object Unreadable : FullRead

        data object Unavailable : FullRead
    }

    private sealed interface EndOfFollowing {
        data object ReadDue : EndOfFollowing

        /** The next changes can't be had; [followed] if any were applied before. */
        data class PlaceLost(
            val followed: Boolean,
        ) : EndOfFollowing
    }

    private companion object {
        val STALE_REPORT_INTERVAL: Duration = 60.seconds

        val WATCH_WAIT: Duration = 1500.milliseconds // detects a dead connection within the drain time
        val BATCH_PAUSE: Duration = 150.milliseconds // so that one call returns several changes
        val RETRY_DELAY: Duration = 150.milliseconds
        val RETRY_JITTER: Duration = 150.milliseconds
    }
}
