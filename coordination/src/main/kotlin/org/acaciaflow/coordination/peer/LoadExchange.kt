package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.coordination.load.RemoteLoads
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.load.BackendLoad
import org.acaciaflow.state.load.DataCentreSum
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.LoadSource
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.peer.LoadScope
import org.acaciaflow.state.peer.LoadShare
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.peer.ReportedLoad
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Keeps the loads of all gateways known within a fraction of a second.
 *
 * Each gateway sends its loads to the aggregator of its data centre. Aggregators exchange the sums of their data
 * centres and send each member the sum over all others, so that the messages of a gateway grow with the size of its
 * data centre and with the number of data centres, not with the number of gateways.
 */
class LoadExchange(
    private val self: GatewayIdentity,
    private val tables: RelayTables,
) {
    private var sequence = 0L
    private var choice = AggregatorChoice.NONE

    /** Returns the messages to send at [now], each with its receiver; [stopping] gateways do not aggregate. */
    fun messages(
        stopping: Boolean,
        now: Instant,
    ): List<Pair<HostAddress, LoadShare>> {
        sequence += 1
        val peers = tables.peers.snapshot().live
        val dataCentres = peers.mapValues { it.value.dataCentre }
        val load = tables.load.update { RemoteLoads.refreshed(it, self.dataCentre, dataCentres, now) }
        val members = RemoteLoads.membersOf(load.sources, now)
        val aggregator = selectAggregator(load, peers.values + ownEntry(stopping, now), now)
        val own = ownLoads(load)
        val toAggregator =
            if (aggregator == null) {
                emptyList()
            } else {
                listOf(aggregator to share(LoadScope.Sender, Duration.ZERO, reported(own)))
            }
        if (aggregator != null && members.isEmpty()) return toAggregator
        return toAggregator +
            sumsForMembers(load, own, dataCentres, members, now) + sumsForOthers(load, own, peers, dataCentres, now)
    }

    /** Applies a message that arrived at [now]. */
    fun receive(
        share: LoadShare,
        now: Instant,
    ) {
        if (share.sender == self.address) return
        val source = sourceOf(share.startedAtMilliseconds, share.sequence, share.loads, now - share.age, now)
        tables.load.update { load ->
            when (val scope = share.scope) {
                LoadScope.Sender -> RemoteLoads.shared(load, share.sender, source)
                is LoadScope.WholeDataCentre ->
                    RemoteLoads.summed(load, scope.dataCentre, DataCentreSum(share.sender, source))
                LoadScope.AllOthers -> RemoteLoads.sumReceived(load, source)
            }
        }
    }

    /** Returns the source for loads in a message, without servers that this gateway does not know. */
    fun sourceOf(
        senderStartedAt: Long,
        sequence: Long,
        loads: List<ReportedLoad>,
        measuredAt: Instant,
        now: Instant,
    ): LoadSource {
        val lives = tables.fleet.snapshot().livesByCode()
        val known = loads.mapNotNull { entry -> lives[entry.lifeCode]?.let { it to entry.load } }.toMap()
        return LoadSource(senderStartedAt, sequence, known.toPersistentMap(), measuredAt, receivedAt = now)
    }

    /** Returns the address to send own loads to; null if this gateway aggregates itself. */
    private fun selectAggregator(
        load: FleetLoad,
        gateways: Collection<Peer>,
        now: Instant,
    ): HostAddress? {
        val heardAt = load.sources.others?.receivedAt ?: Instant.DISTANT_PAST
        choice = AggregatorSelection.choose(choice, self.address, self.dataCentre, gateways, heardAt, now)
        return choice.address.takeIf { it != self.address }
    }

    private fun ownEntry(
        stopping: Boolean,
        now: Instant,
    ): Peer =
        Peer(
            address = self.address,
            startedAtMilliseconds = self.startedAtMilliseconds,
            lastSequence = sequence,
            lastReportAt = now,
            configurationVersion = 0,
            dataCentre = self.dataCentre,
            capacity = self.capacity,
            stopping = stopping,
        )

    private fun sumsForMembers(
        load: FleetLoad,
        own: PersistentMap<BackendLife, RemoteLoad>,
        dataCentres: Map<HostAddress, DataCentre>,
        members: Set<HostAddress>,
        now: Instant,
    ): List<Pair<HostAddress, LoadShare>> =
        members.map { member ->
            val sources = RemoteLoads.sourcesOfOthers(load.sources, self.dataCentre, dataCentres, member, now)
            member to sumOf(LoadScope.AllOthers, own, sources, now)
        }

    private fun sumsForOthers(
        load: FleetLoad,
        own: PersistentMap<BackendLife, RemoteLoad>,
        peers: Map<HostAddress, Peer>,
        dataCentres: Map<HostAddress, DataCentre>,
        now: Instant,
    ): List<Pair<HostAddress, LoadShare>> {
        val others = dataCentres.values.toSet() - self.dataCentre
        if (others.isEmpty()) return emptyList()
        val sources =
            RemoteLoads.sourcesOfDataCentre(load.sources, self.dataCentre, dataCentres, receiver = null, now)
        val sum = sumOf(LoadScope.WholeDataCentre(self.dataCentre), own, sources, now)
        return others.mapNotNull { receiverIn(it, load, peers, now) }.map { it to sum }
    }

    /** The gateway that aggregates for [dataCentre]: the one that last sent its sum, else the one to be expected. */
    private fun receiverIn(
        dataCentre: DataCentre,
        load: FleetLoad,
        peers: Map<HostAddress, Peer>,
        now: Instant,
    ): HostAddress? {
        val sum = load.sources.dataCentres[dataCentre]
        if (sum != null && now - sum.source.receivedAt < RemoteLoads.FRESHNESS) return sum.aggregator
        return AggregatorSelection.aggregatorOf(dataCentre, peers.values, excluded = emptySet())
    }

    private fun sumOf(
        scope: LoadScope,
        own: PersistentMap<BackendLife, RemoteLoad>,
        sources: List<LoadSource>,
        now: Instant,
    ): LoadShare {
        val all = sources + LoadSource(self.startedAtMilliseconds, sequence, own, now, now)
        return share(scope, now - RemoteLoads.meanMeasuredAt(all, now), reported(RemoteLoads.sumOf(all)))
    }

    private fun share(
        scope: LoadScope,
        age: Duration,
        loads: PersistentList<ReportedLoad>,
    ) = LoadShare(self.address, self.startedAtMilliseconds, sequence, scope, age, loads)

    companion object {
        /** Returns this gateway's own loads, as they are told to others. */
        fun reportedLoads(load: FleetLoad): PersistentList<ReportedLoad> = reported(ownLoads(load))

        private fun ownLoads(load: FleetLoad): PersistentMap<BackendLife, RemoteLoad> =
            load.own
                .filterValues { it.jobs.isNotEmpty() }
                .mapValues { remoteLoadOf(it.value) }
                .toPersistentMap()

        private fun reported(loads: Map<BackendLife, RemoteLoad>): PersistentList<ReportedLoad> =
            loads.map { (life, load) -> ReportedLoad(life.code, load) }.toPersistentList()

        private fun remoteLoadOf(backend: BackendLoad) =
            RemoteLoad(backend.waitingWork, backend.waitingJobs, backend.jobs.size, backend.tokens)
    }
}
