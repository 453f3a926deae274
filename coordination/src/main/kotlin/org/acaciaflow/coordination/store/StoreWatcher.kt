package org.acaciaflow.coordination.store

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.fleet.GoneLives
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StoredKeyKind
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.coordination.stream.LineageChanges
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.store.RevisionOrder
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.PoolVersions
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
 * Entries that disappear while the store is unavailable stay in use for [StoreFreshness.DOUBT] after it
 * recovers. What can't be decoded holds back nothing else: when changes can't be taken in, all keys are read instead.
 */
class StoreWatcher(
    self: HostAddress,
    feed: ChangeFeed,
    private val eras: StoreEraTracker,
    private val documents: StoredDocuments,
    routing: RoutingUpdater,
    private val fleet: SharedTable<Fleet>,
    peers: SharedTable<Peers>,
    private val knowledge: SharedTable<StoreKnowledge>,
    versions: SharedTable<PoolVersions>,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    private val feed: ChangeFeed = EraCheckedFeed(feed, eras, clock)

    @Volatile
    private var staleReportedAt: Instant? = null

    /** The era of the last page. */
    @Volatile
    private var eraRead: StoreEra? = null

    @Volatile
    private var sectionsRead: PersistentSet<StoreKey> = persistentSetOf()

    /** True once all keys but those of gateways have been read whole; gateways also hear each other directly. */
    val synchronized: Boolean
        get() = feed.sections.filterNot { documents.kindOf(it) is StoredKeyKind.Gateway }.all { it in sectionsRead }

    private val applier =
        StoreChangeApplier(
            self,
            documents,
            routing,
            fleet,
            peers,
            knowledge,
            LineageChanges(versions, clock),
            observations,
            clock,
        )

    private val reader = StoreReader(this.feed, onFailure = ::backOff, onPage = ::applyPage)

    /**
     * Follows the store until cancelled.
     *
     * All keys are read again when that is due, or when the place among the changes is lost. A read that fails does not end the watch: changes are followed from the former place meanwhile.
     */
    suspend fun run() {
        var place: StorePlace? = null
        var reads = 0
        var pause = Duration.ZERO
        var returned = false
        while (true) {
            delay(pause)
            val read = readAll(returned)
            val start = placeAfter(read, place)
            if (start == null) {
                if (read.available) reads += 1
                pause = StoreReadPolicy.pauseBefore(reads, random)
                returned = false
            } else {
                val followed = follow(start)
                reads = if (read.available) followed.readsAfter(reads) else 0
                place = followed.place
                pause =
                    when {
                        !followed.returned -> StoreReadPolicy.pauseBefore(reads, random)
                        read.available -> Duration.ZERO
                        else -> StoreReadPolicy.pauseAfterReturn(random)
                    }
                returned = followed.returned
            }
        }
    }

    /** Where to go on after [read]; an incomplete read leaves a former place that [StorePlace.outlasts] it as it is. */
    private fun placeAfter(
        read: FullRead,
        former: StorePlace?,
    ): StorePlace? {
        val nextReadAt = clock.now() + StoreReadPolicy.readInterval(read.complete, random)
        val next = read.revision?.let { StorePlace(startAfter(it, former), nextReadAt, lost = false) }
        return if (next == null || former?.outlasts(read) == true) former?.copy(nextReadAt = nextReadAt) else next
    }

    /** Where changes are followed from after a read as of [read]; the first read of an era does not show its removals. */
    private fun startAfter(
        read: StoreRevision,
        former: StorePlace?,
    ): StoreRevision {
        val firstOfEra = knowledge.snapshot().firstOfEra
        val isFirstRead = former != null && former.revision.era != read.era
        return if (firstOfEra != null && isFirstRead) earlierOf(read, firstOfEra) else read
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

    /**
     * Reads and applies the sections in turn; one that can't be decoded does not hold back the others.
     *
     * After a return of the store the first section, a single key, is read at once and the others after a pause.
     */
    private suspend fun readAll(returned: Boolean): FullRead {
        val askedAt = clock.now()
        var revision: StoreRevision? = null
        var complete = true
        for ((index, section) in feed.sections.withIndex()) {
            if (returned && index == 1) delay(StoreReadPolicy.pauseAfterReturn(random))
            when (val read = reader.read(section)) {
                is SectionRead.Complete -> {
                    if (revision != null && read.revision.era != revision.era) return cutRead()
                    applier.removeAbsent(section, read)
                    revision = earlierOf(revision ?: read.revision, read.revision)
                    sectionsRead = sectionsRead.add(section)
                }

                is SectionRead.Unreadable -> {
                    observations.event(Event.StoreSectionUnreadable(section, read.reason))
                    complete = false
                }

                SectionRead.Cut -> {
                    return cutRead()
                }

                SectionRead.Unavailable -> {
                    return FullRead(revision, complete = false, available = false)
                }
            }
        }
        if (complete) {
            revision?.let { known ->
                knowledge.update { StoreFreshness.read(it, known, clock.now(), askedAt) }
            }
        }
        return FullRead(revision, complete, available = true)
    }

    /** The store has returned meanwhile, so that what was read is of two histories. */
    private fun cutRead(): FullRead = FullRead(revision = null, complete = false, available = true)

    /** Applies the changes after [start] until all keys must be read again. */
    private suspend fun follow(start: StorePlace): FollowedChanges {
        var place = start.copy(lost = false)
        var failures = 0
        while (clock.now() < place.nextReadAt) {
            val askedAt = clock.now()
            when (val result = changesAfter(place.revision) ?: return returned(place)) {
                is StoreResult.Failure -> {
                    failures += 1
                    backOff(result.reason)
                    when (StoreReadPolicy.afterFailedWatch(result.reason, failures)) {
                        AfterFailedWatch.ASK_AGAIN -> Unit
                        AfterFailedWatch.READ_ALL_KEYS -> return lost(
                            place,
                            start,
                            Event.StoreAnswerUnreadable(place.revision, result.reason),
                        )
                    }
                }

                is StoreResult.Success -> {
                    failures = 0
                    markAvailable()
                    if (result.value.era != place.revision.era) return returned(place)
                    val next = revisionAfter(result.value, place.revision, askedAt)
                    if (next == null) return lost(place, start, Event.StoreHistoryLost(place.revision))
                    place = place.copy(revision = next)
                }
            }
        }
        return FollowedChanges(place, changed = true, returned = false)
    }

    /** Asks for the changes after [revision]; null as soon as any answer of the store is of another era. */
    private suspend fun changesAfter(revision: StoreRevision): StoreResult<StoreChanges>? {
        // The first watch after a failure shows soon whether the store has returned.
        val wait = if (knowledge.snapshot().failingSince == null) WATCH_WAIT else FIRST_WATCH_WAIT
        return eras.unlessLeft(revision.era) { feed.changes(revision, wait) }
    }

    private fun returned(place: StorePlace): FollowedChanges =
        FollowedChanges(place.copy(lost = true), changed = true, returned = true)

    private fun earlierOf(
        one: StoreRevision,
        other: StoreRevision,
    ): StoreRevision = if (other.orderTo(one) == RevisionOrder.EARLIER) other else one

    private fun lost(
        place: StorePlace,
        start: StorePlace,
        event: Event,
    ): FollowedChanges {
        if (!start.lost) observations.event(event) // once for a series of attempts that all fail
        val changed = place.revision != start.revision
        return FollowedChanges(place.copy(lost = true), changed, returned = false)
    }

    /** Applies [changes] after [revision], asked for at [askedAt]; returns the revision to go on from, or null if all keys must be read. */
    private suspend fun revisionAfter(
        changes: StoreChanges,
        revision: StoreRevision,
        askedAt: Instant,
    ): StoreRevision? =
        when (changes) {
            is StoreChanges.HistoryLost -> {
                null
            }

            is StoreChanges.Batch -> {
                if (changes.revision.orderTo(revision) == RevisionOrder.EARLIER) return null
                changes.changes.forEach { applier.apply(it) }
                knowledge.update { StoreFreshness.answered(it, changes.revision, clock.now(), askedAt) }
                if (changes.changes.isNotEmpty()) delay(BATCH_PAUSE)
                changes.revision
            }
        }

    private fun applyPage(page: StorePage) {
        markAvailable()
        reportReturn(page.revision)
        fleet.update { GoneLives.read(FleetChanges.reorderedFor(it, page.revision), page.revision) }
        val followed = knowledge.snapshot().revision
        page.items.forEach { item ->
            applier.reportMissed(item, followed)
            applier.apply(item)
        }
    }

    /** Logs once for each era, by its first page, that the store has returned from a copy. */
    private fun reportReturn(current: StoreRevision) {
        val former = eraRead
        eraRead = current.era
        if (former == null || former == current.era) return
        observations.event(Event.StoreReturned(knowledge.snapshot().revision, current))
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

    private companion object {
        val STALE_REPORT_INTERVAL: Duration = 60.seconds

        val WATCH_WAIT: Duration = 1500.milliseconds // detects a dead connection within the drain time
        val FIRST_WATCH_WAIT: Duration = 100.milliseconds
        val BATCH_PAUSE: Duration = 150.milliseconds // so that one call returns several changes
        val RETRY_DELAY: Duration = 150.milliseconds
        val RETRY_JITTER: Duration = 150.milliseconds
    }
}
