package org.acaciaflow.coordination.store

import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.fleet.GoneLives
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreChange
import org.acaciaflow.coordination.port.StoreItem
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StoredKeyKind
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.coordination.stream.LineageChanges
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.parseHostAddress
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.store.RevisionOrder
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock

/** Applies keys and changes of the store to the tables of the configuration, backend servers and other gateways. */
internal class StoreChangeApplier(
    private val self: HostAddress,
    private val documents: StoredDocuments,
    private val routing: RoutingUpdater,
    private val fleet: SharedTable<Fleet>,
    private val peers: SharedTable<Peers>,
    private val knowledge: SharedTable<StoreKnowledge>,
    private val lineages: LineageChanges,
    private val observations: Observations,
    private val clock: Clock,
) {
    /** Applies one change, or one key of a page. */
    fun apply(change: StoreChange) {
        if (isApplied(change)) return
        when (change) {
            is StoreItem.Written -> applyWrite(change)
            is StoreItem.Unreadable -> applyUnreadable(change)
            is StoreChange.Removed -> applyRemoval(change)
        }
    }

    /** Logs a server's entry that changes up to the revision [followed] should have brought, and did not. */
    fun reportMissed(
        item: StoreItem,
        followed: StoreRevision,
    ) {
        val kind = documents.kindOf(item.key) as? StoredKeyKind.Backend ?: return
        val known = fleet.snapshot().revisions[kind.instance] ?: return
        val missed = item.revision.orderTo(known) == RevisionOrder.LATER && item.revision.isUpTo(followed)
        if (missed) observations.event(Event.StoreChangeMissed(item.key, item.revision))
    }

    /** True for a server's entry that the fleet shows already; reading all keys again mostly finds such. */
    private fun isApplied(change: StoreChange): Boolean {
        val kind = documents.kindOf(change.key) as? StoredKeyKind.Backend ?: return false
        return FleetChanges.isApplied(fleet.snapshot(), kind.instance, change.revision)
    }

    private fun applyWrite(stored: StoreItem.Written) {
        when (val kind = documents.kindOf(stored.key)) {
            StoredKeyKind.Configuration -> routing.offer(stored.value, ConfigurationOrigin.STORE)
            is StoredKeyKind.Backend -> applyEntry(kind.instance, stored)
            is StoredKeyKind.Gateway -> applyGateway(kind.address, present = true)
            is StoredKeyKind.Lineage -> applyLineage(kind.pool, stored)
            is StoredKeyKind.HostLineage -> applyLineage(kind.host, stored)
            StoredKeyKind.Other -> Unit
        }
    }

    /** An entry that can't be read names no server to use; a configuration that can't be read changes nothing. */
    private fun applyUnreadable(item: StoreItem.Unreadable) {
        observations.event(Event.StoreItemUnreadable(item.key, item.revision, item.fault))
        knowledge.update { StoreFreshness.unreadable(it, "${item.key.path}: ${item.fault.detail}") }
        when (val kind = documents.kindOf(item.key)) {
            is StoredKeyKind.Backend -> fleet.update { FleetChanges.unreadable(it, kind.instance, item.revision) }
            is StoredKeyKind.Gateway -> applyGateway(kind.address, present = true)
            is StoredKeyKind.Lineage -> lineages.unreadable(kind.pool, item.revision)
            is StoredKeyKind.HostLineage -> lineages.unreadable(kind.host, item.revision)
            StoredKeyKind.Configuration, StoredKeyKind.Other -> Unit
        }
    }

    private fun applyRemoval(change: StoreChange.Removed) {
        when (val kind = documents.kindOf(change.key)) {
            is StoredKeyKind.Backend -> removeUnlessNewer(kind.instance, change.revision)
            is StoredKeyKind.Gateway -> applyGateway(kind.address, present = false)
            is StoredKeyKind.Lineage -> lineages.removed(kind.pool, change.revision)
            is StoredKeyKind.HostLineage -> lineages.removed(kind.host, change.revision)
            StoredKeyKind.Configuration, StoredKeyKind.Other -> Unit
        }
    }

    private fun applyEntry(
        instance: String,
        stored: StoreItem.Written,
    ) {
        when (val decoded = documents.readEntry(instance, stored.value)) {
            is Decoded.Invalid -> {
                observations.event(Event.BackendEntryUnreadable(instance, stored.revision, decoded.fault))
                knowledge.update { StoreFreshness.unreadable(it, "${stored.key.path}: ${decoded.fault.detail}") }
                fleet.update { FleetChanges.unreadable(it, instance, stored.revision) }
            }

            is Decoded.Valid -> {
                if (GoneLives.isOfCopy(fleet.snapshot(), decoded.value.life, stored.revision)) {
                    observations.event(Event.BackendEntryOfCopy(decoded.value.life, stored.revision))
                    return handleMissing(instance)
                }
                val former = fleet.snapshot().entries[instance]
                fleet.update {
                    val registered = FleetChanges.registered(it, decoded.value, stored.revision)
                    GoneLives.replaced(it, registered, instance, clock.now())
                }
                val current = fleet.snapshot().entries[instance]
                if (former != current) {
                    observations.event(Event.BackendRegistered(decoded.value, stored.revision))
                }
            }
        }
    }

    private fun applyLineage(
        pool: PoolName,
        stored: StoreItem.Written,
    ) {
        when (val decoded = documents.readBase(stored.value)) {
            is Decoded.Valid -> lineages.written(pool, decoded.value, stored.revision)
            is Decoded.Invalid -> applyUnreadable(StoreItem.Unreadable(stored.key, stored.revision, decoded.fault))
        }
    }

    private fun applyLineage(
        host: String,
        stored: StoreItem.Written,
    ) {
        when (val decoded = documents.readHostBase(stored.value)) {
            is Decoded.Valid -> lineages.written(host, decoded.value, stored.revision)
            is Decoded.Invalid -> applyUnreadable(StoreItem.Unreadable(stored.key, stored.revision, decoded.fault))
        }
    }

    /** Removes a server, unless its entry was written again after [revision], as a page may show before the watch. */
    private fun removeUnlessNewer(
        instance: String,
        revision: StoreRevision,
    ) {
        if (!FleetChanges.isOlder(fleet.snapshot(), instance, revision)) {
            handleMissing(instance, removedAt = revision)
        }
    }

    /** Handles an entry that is missing; [removedAt] is null unless the store has shown its removal. */
    private fun handleMissing(
        instance: String,
        lastWrite: StoreRevision? = null,
        removedAt: StoreRevision? = null,
    ) {
        val entry = fleet.snapshot().entries[instance]
        if (entry == null) {
            fleet.update { FleetChanges.removed(it, instance) }
            return
        }
        val now = clock.now()
        val known = knowledge.snapshot()
        val certain = removedAt != null && StoreFreshness.isSinceReturn(known, removedAt, now)
        val doubtful = !certain && StoreFreshness.isInDoubt(known, now)
        observations.event(Event.BackendMissing(entry.life, doubtful))
        fleet.update {
            if (doubtful) {
                FleetChanges.lapsed(it, instance, now)
            } else {
                GoneLives.removed(it, instance, lastWrite, now)
            }
        }
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

    /** Removes what is known of [section] and is not among the keys of [read]. */
    fun removeAbsent(
        section: StoreKey,
        read: SectionRead.Complete,
    ) {
        val present = read.keys.map { documents.kindOf(it) }
        when (documents.kindOf(section)) {
            is StoredKeyKind.Backend ->
                removeAbsentServers(
                    present.filterIsInstance<StoredKeyKind.Backend>(),
                    read.revision,
                )
            is StoredKeyKind.Gateway -> removeAbsentGateways(present.filterIsInstance<StoredKeyKind.Gateway>())
            is StoredKeyKind.Lineage, is StoredKeyKind.HostLineage ->
                lineages.absentExcept(
                    pools = present.filterIsInstance<StoredKeyKind.Lineage>().map { it.pool }.toSet(),
                    hosts = present.filterIsInstance<StoredKeyKind.HostLineage>().map { it.host }.toSet(),
                )
            StoredKeyKind.Configuration, StoredKeyKind.Other -> Unit
        }
    }

    private fun removeAbsentServers(
        present: List<StoredKeyKind.Backend>,
        revision: StoreRevision,
    ) {
        val instances = present.map { it.instance }.toSet()
        val known = fleet.snapshot()
        (known.entries.keys + known.revisions.keys)
            .filterNot { it in instances }
            .forEach { handleMissing(it, lastWrite = revision) }
    }

    private fun removeAbsentGateways(present: List<StoredKeyKind.Gateway>) {
        val addresses = present.map { it.address }.toSet()
        peers.update { known ->
            known.copy(registered = known.registered.removeAll { it.toString() !in addresses })
        }
    }
}
