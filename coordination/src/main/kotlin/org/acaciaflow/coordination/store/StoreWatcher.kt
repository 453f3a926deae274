package org.acaciaflow.coordination.store

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreChange
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreItem
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoreSnapshot
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StoredKeyKind
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress
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
 * Entries that disappear while the store is unavailable stay in use until [LAPSED_ENTRY_GRACE] after it recovers.
 */
class StoreWatcher(
    private val self: HostAddress,
    private val feed: ChangeFeed,
    private val documents: StoredDocuments,
    private val routing: RoutingUpdater,
    private val fleet: SharedTable<Fleet>,
    private val peers: SharedTable<Peers>,
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

    /** Watches the store until cancelled; reads a new snapshot when the store has lost its change history. */
    suspend fun run() {
        var readsInARow = 0
        while (true) {
            delay(StoreReadPolicy.pauseBefore(readsInARow, random))
            when (val snapshot = feed.snapshot()) {
                is StoreResult.Failure -> {
                    backOff(snapshot.reason)
                }

                is StoreResult.Success -> {
                    val followed = watchFrom(snapshot.value)
                    readsInARow = if (followed) 1 else readsInARow + 1
                }
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

    /** Removes the entries that are still lapsed [LAPSED_ENTRY_GRACE] after the store recovered. */
    fun removeLapsedEntries(now: Instant) {
        if (inDoubt(now)) return
        if (fleet.snapshot().lapsed.isNotEmpty()) fleet.update(FleetChanges::lapsedRemoved)
    }

    /** Applies [snapshot] and follows it; returns whether any changes could be followed before the place was lost. */
    private suspend fun watchFrom(snapshot: StoreSnapshot): Boolean {
        markAvailable()
        apply(snapshot)
        knowledge.update { StoreFreshness.read(it, snapshot.revision, clock.now()) }
        synchronized = true
        var revision = snapshot.revision
        var followed = false
        while (true) {
            when (val result = feed.changes(revision, WATCH_WAIT)) {
                is StoreResult.Failure -> {
                    backOff(result.reason)
                }

                is StoreResult.Success -> {
                    markAvailable()
                    when (val changes = result.value) {
                        StoreChanges.HistoryLost -> {
                            observations.event(Event.StoreHistoryLost(revision))
                            return followed
                        }

                        is StoreChanges.Batch -> {
                            changes.changes.forEach { apply(it) }
                            revision = changes.revision
                            followed = true
                            knowledge.update { StoreFreshness.answered(it, changes.revision, clock.now()) }
                            if (changes.changes.isNotEmpty()) delay(BATCH_PAUSE)
                        }
                    }
                }
            }
        }
    }

    private fun apply(snapshot: StoreSnapshot) {
        snapshot.items.forEach { apply(it) }
        val present = snapshot.items.map { documents.kindOf(it.key) }.filterIsInstance<StoredKeyKind.Backend>()
        val instances = present.map { it.instance }.toSet()
        fleet
            .snapshot()
            .entries.keys
            .filterNot { it in instances }
            .forEach { handleMissing(it) }
        val gateways = snapshot.items.map { documents.kindOf(it.key) }.filterIsInstance<StoredKeyKind.Gateway>()
        val addresses = gateways.map { it.address }.toSet()
        peers.update { known ->
            known.copy(registered = known.registered.removeAll { it.toString() !in addresses })
        }
    }

    private fun apply(change: StoreChange) {
        when (change) {
            is StoreItem.Written -> applyWrite(change.value)
            is StoreItem.Unreadable -> applyUnreadable(change)
            is StoreChange.Removed -> applyRemoval(change)
        }
    }

    private fun applyWrite(stored: StoredValue) {
        when (val kind = documents.kindOf(stored.key)) {
            StoredKeyKind.Configuration -> routing.offer(stored.value, ConfigurationOrigin.STORE)
            is StoredKeyKind.Backend -> applyEntry(kind.instance, stored)
            is StoredKeyKind.Gateway -> applyGateway(kind.address, present = true)
            StoredKeyKind.Other -> Unit
        }
    }

    /** An entry that can't be read names no server to use; a configuration that can't be read changes nothing. */
    private fun applyUnreadable(item: StoreItem.Unreadable) {
        observations.event(Event.StoreItemUnreadable(item.key, item.revision, item.fault))
        knowledge.update { StoreFreshness.unreadable(it, "${item.key.path}: ${item.fault.detail}") }
        when (val kind = documents.kindOf(item.key)) {
            is StoredKeyKind.Backend -> fleet.update { FleetChanges.removed(it, kind.instance) }
            is StoredKeyKind.Gateway -> applyGateway(kind.address, present = true)
            StoredKeyKind.Configuration, StoredKeyKind.Other -> Unit
        }
    }

    private fun applyRemoval(change: StoreChange.Removed) {
        when (val kind = documents.kindOf(change.key)) {
            is StoredKeyKind.Backend -> handleMissing(kind.instance)
            is StoredKeyKind.Gateway -> applyGateway(kind.address, present = false)
            StoredKeyKind.Configuration, StoredKeyKind.Other -> Unit
        }
    }

    private fun applyEntry(
        instance: String,
        stored: StoredValue,
    ) {
        when (val decoded = documents.readEntry(instance, stored.value)) {
            is Decoded.Invalid -> {
                observations.event(Event.BackendEntryUnreadable(instance, stored.revision, decoded.fault))
                knowledge.update { StoreFreshness.unreadable(it, "${stored.key.path}: ${decoded.fault.detail}") }
                fleet.update { FleetChanges.removed(it, instance) }
            }

            is Decoded.Valid -> {
                val former = fleet.snapshot().entries[instance]
                fleet.update { FleetChanges.registered(it, decoded.value) }
                if (former != decoded.value) {
                    observations.event(Event.BackendRegistered(decoded.value, stored.revision))
                }
            }
        }
    }

    private fun handleMissing(instance: String) {
        val known = fleet.snapshot().entries[instance] ?: return
        val doubtful = inDoubt(clock.now())
        observations.event(Event.BackendMissing(known.life, doubtful))
        fleet.update { if (doubtful) FleetChanges.lapsed(it, instance) else FleetChanges.removed(it, instance) }
    }

    private fun applyGateway(
        text: String,
        present: Boolean,
    ) {
        val address = parseHostAddress(text) ?: return
        if (address == self) return
        peers.update { known ->
            val registered = if (present) known.registered.add(address) else known.registered.remove(address)
            known.copy(registered = registered)
        }
    }

    /** True while an entry may be missing only because its server could not reach the store. */
    private fun inDoubt(now: Instant): Boolean {
        val known = knowledge.snapshot()
        val recoveredAt = known.recoveredAt
        return known.failingSince != null || (recoveredAt != null && now - recoveredAt < LAPSED_ENTRY_GRACE)
    }

    private fun markAvailable() {
        if (knowledge.snapshot().failingSince == null) return
        knowledge.update { StoreFreshness.available(it, clock.now()) }
        observations.event(Event.StoreAvailable)
    }

    private suspend fun backOff(reason: StoreFailure) {
        observations.storeFailed(reason)
        if (knowledge.snapshot().failingSince == null) observations.event(Event.StoreUnavailable(reason))
        knowledge.update { StoreFreshness.failed(it, clock.now()) }
        delay(RETRY_DELAY + RETRY_JITTER * random.nextDouble())
    }

    companion object {
        /** How long lapsed entries stay in use after the store recovers; live backends register again within it. */
        val LAPSED_ENTRY_GRACE: Duration = 2.seconds

        /** How often stale knowledge is logged. */
        private val STALE_REPORT_INTERVAL: Duration = 60.seconds

        private val WATCH_WAIT: Duration = 1500.milliseconds // detects a dead connection within the drain time
        private val BATCH_PAUSE: Duration = 150.milliseconds // so that one call returns several changes
        private val RETRY_DELAY: Duration = 150.milliseconds
        private val RETRY_JITTER: Duration = 150.milliseconds
    }
}
