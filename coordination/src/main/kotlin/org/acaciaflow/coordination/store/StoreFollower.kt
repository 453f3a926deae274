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
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoreSnapshot
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StoredSubject
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.table.SharedTable
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Follows the platform's store: configuration, backend servers and other gateways.
 *
 * Entries that go missing while the store is away are kept in use until [LAPSE_GRACE] after its return.
 */
class StoreFollower(
    private val self: HostAddress,
    private val feed: ChangeFeed,
    private val documents: StoredDocuments,
    private val routing: RoutingUpdater,
    private val fleet: SharedTable<Fleet>,
    private val peers: SharedTable<Peers>,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    @Volatile
    private var awaySince: Instant? = null

    @Volatile
    private var returnedAt: Instant = Instant.DISTANT_PAST

    /** True once the backend servers have been read. */
    @Volatile
    var synchronized: Boolean = false
        private set

    /** Follows the store until cancelled. */
    suspend fun run() {
        while (true) {
            when (val snapshot = feed.snapshot()) {
                is StoreResult.Failure -> failed(snapshot.reason)
                is StoreResult.Success -> followFrom(snapshot.value)
            }
        }
    }

    /** Forgets, as of [now], entries that are still missing long enough after the store's return. */
    fun settleLapses(now: Instant) {
        if (awaySince != null || now - returnedAt < LAPSE_GRACE) return
        if (fleet.snapshot().lapsed.isNotEmpty()) fleet.update(FleetChanges::lapsedRemoved)
    }

    private suspend fun followFrom(snapshot: StoreSnapshot) {
        answered()
        apply(snapshot)
        synchronized = true
        var revision = snapshot.revision
        while (true) {
            when (val result = feed.changes(revision, WATCH_WAIT)) {
                is StoreResult.Failure -> {
                    failed(result.reason)
                }

                is StoreResult.Success -> {
                    answered()
                    when (val changes = result.value) {
                        StoreChanges.HistoryLost -> return observations.event(Event.StoreHistoryLost(revision))

                        is StoreChanges.Batch -> {
                            changes.changes.forEach { apply(it) }
                            revision = changes.revision
                            if (changes.changes.isNotEmpty()) delay(BATCH_PAUSE)
                        }
                    }
                }
            }
        }
    }

    private fun apply(snapshot: StoreSnapshot) {
        snapshot.values.forEach { written(it) }
        val present = snapshot.values.map { documents.subjectOf(it.key) }.filterIsInstance<StoredSubject.Backend>()
        val instances = present.map { it.instance }.toSet()
        fleet
            .snapshot()
            .entries.keys
            .filterNot { it in instances }
            .forEach { missing(it) }
        val gateways = snapshot.values.map { documents.subjectOf(it.key) }.filterIsInstance<StoredSubject.Gateway>()
        val addresses = gateways.map { it.address }.toSet()
        peers.update { known ->
            known.copy(registered = known.registered.removeAll { it.toString() !in addresses })
        }
    }

    private fun apply(change: StoreChange) {
        when (change) {
            is StoreChange.Written -> written(change.value)
            is StoreChange.Removed -> removed(change)
        }
    }

    private fun written(stored: StoredValue) {
        when (val subject = documents.subjectOf(stored.key)) {
            StoredSubject.Configuration -> routing.offer(stored.value, ConfigurationOrigin.STORE)
            is StoredSubject.Backend -> registered(subject.instance, stored)
            is StoredSubject.Gateway -> gateway(subject.address, present = true)
            StoredSubject.Other -> Unit
        }
    }

    private fun removed(change: StoreChange.Removed) {
        when (val subject = documents.subjectOf(change.key)) {
            is StoredSubject.Backend -> missing(subject.instance)
            is StoredSubject.Gateway -> gateway(subject.address, present = false)
            StoredSubject.Configuration, StoredSubject.Other -> Unit
        }
    }

    private fun registered(
        instance: String,
        stored: StoredValue,
    ) {
        when (val decoded = documents.readEntry(instance, stored.value)) {
            is Decoded.Invalid -> {
                observations.event(Event.BackendEntryUnreadable(instance, stored.revision, decoded.fault))
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

    private fun missing(instance: String) {
        val known = fleet.snapshot().entries[instance] ?: return
        val doubtful = awaySince != null || clock.now() - returnedAt < LAPSE_GRACE
        observations.event(Event.BackendMissing(known.life, doubtful))
        fleet.update { if (doubtful) FleetChanges.lapsed(it, instance) else FleetChanges.removed(it, instance) }
    }

    private fun gateway(
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

    private fun answered() {
        if (awaySince == null) return
        awaySince = null
        returnedAt = clock.now()
        observations.event(Event.StoreAvailable)
    }

    private suspend fun failed(reason: StoreFailure) {
        observations.storeFailed(reason)
        if (awaySince == null) {
            awaySince = clock.now()
            observations.event(Event.StoreUnavailable(reason))
        }
        delay(RETRY_DELAY + RETRY_JITTER * random.nextDouble())
    }

    companion object {
        /** How long entries stay in use after the store's return; the platform puts live ones back within it. */
        val LAPSE_GRACE: Duration = 2.seconds

        private val WATCH_WAIT: Duration = 1500.milliseconds // a silent connection must show within a drain's bound
        private val BATCH_PAUSE: Duration = 150.milliseconds // several changes then cost one call
        private val RETRY_DELAY: Duration = 150.milliseconds
        private val RETRY_JITTER: Duration = 150.milliseconds
    }
}
