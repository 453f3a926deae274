package org.acaciaflow.coordination.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.load.DataCentreSum
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.LoadSource
import org.acaciaflow.state.load.LoadSources
import org.acaciaflow.state.load.RemoteLoad
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Combines what other gateways have sent of their loads into the sum that decisions use. */
object RemoteLoads {
    /** Stores the loads in a gateway's periodic report. */
    fun reported(
        load: FleetLoad,
        sender: HostAddress,
        source: LoadSource,
    ): FleetLoad = changed(load) { it.copy(gateways = it.gateways.put(sender, source)) }

    /** Stores the share of a gateway that uses this one as its aggregator; ignores one that arrives out of order. */
    fun shared(
        load: FleetLoad,
        sender: HostAddress,
        source: LoadSource,
    ): FleetLoad {
        if (isOutdated(source, load.sources.members[sender])) return load
        return changed(load) { it.copy(members = it.members.put(sender, source)) }
    }

    /** Stores the sum of another data centre; ignores one that arrives out of order. */
    fun summed(
        load: FleetLoad,
        dataCentre: DataCentre,
        sum: DataCentreSum,
    ): FleetLoad {
        val known = load.sources.dataCentres[dataCentre]
        if (known?.aggregator == sum.aggregator && isOutdated(sum.source, known.source)) return load
        return changed(load) { it.copy(dataCentres = it.dataCentres.put(dataCentre, sum)) }
    }

    /** Stores the sum over all other gateways, as the aggregator sent it, and uses it from now on. */
    fun sumReceived(
        load: FleetLoad,
        source: LoadSource,
    ): FleetLoad {
        if (isOutdated(source, load.sources.others)) return load
        return load.copy(
            remote = source.loads,
            remoteMeasuredAt = source.measuredAt,
            sources = load.sources.copy(others = source),
        )
    }

    /** Forgets everything that the gateway [sender] reported. */
    fun removed(
        load: FleetLoad,
        sender: HostAddress,
    ): FleetLoad = changed(load) { it.copy(gateways = it.gateways.remove(sender), members = it.members.remove(sender)) }

    /** Recomputes the sum over all other gateways at [now], unless a recent one came from the aggregator. */
    fun refreshed(
        load: FleetLoad,
        ownDataCentre: DataCentre,
        peers: Map<HostAddress, DataCentre>,
        now: Instant,
    ): FleetLoad {
        val fromAggregator = load.sources.others
        if (fromAggregator != null && isFresh(fromAggregator, now)) return load
        val sources = sourcesOfOthers(load.sources, ownDataCentre, peers, receiver = null, now)
        return load.copy(remote = sumOf(sources), remoteMeasuredAt = meanMeasuredAt(sources, now))
    }

    /** Returns the gateways that use this one as their aggregator at [now]. */
    fun membersOf(
        sources: LoadSources,
        now: Instant,
    ): Set<HostAddress> = sources.members.filterValues { isFresh(it, now) }.keys

    /** Returns the latest messages that together cover the gateways of this data centre, except this one. */
    fun sourcesOfDataCentre(
        sources: LoadSources,
        ownDataCentre: DataCentre,
        peers: Map<HostAddress, DataCentre>,
        receiver: HostAddress?,
        now: Instant,
    ): List<LoadSource> =
        peers
            .filter { (address, dataCentre) -> dataCentre == ownDataCentre && address != receiver }
            .keys
            .mapNotNull { address ->
                sources.members[address]?.takeIf { isFresh(it, now) } ?: sources.gateways[address]
            }

    /** Returns the latest messages that together cover all gateways except this one and [receiver]. */
    fun sourcesOfOthers(
        sources: LoadSources,
        ownDataCentre: DataCentre,
        peers: Map<HostAddress, DataCentre>,
        receiver: HostAddress?,
        now: Instant,
    ): List<LoadSource> {
        val sums = sources.dataCentres.filterValues { isFresh(it.source, now) }
        val remote =
            peers
                .filterValues { it != ownDataCentre && it !in sums }
                .keys
                .mapNotNull { sources.gateways[it] }
        return sourcesOfDataCentre(sources, ownDataCentre, peers, receiver, now) +
            sums.filterKeys { it != ownDataCentre }.values.map { it.source } + remote
    }

    /** Adds up the loads of [sources]. */
    fun sumOf(sources: List<LoadSource>): PersistentMap<BackendLife, RemoteLoad> {
        val sum = persistentMapOf<BackendLife, RemoteLoad>().builder()
        for (source in sources) {
            for ((life, load) in source.loads) sum[life] = sum[life]?.plus(load) ?: load
        }
        return sum.build()
    }

    /** Returns the mean time that [sources] describe; [now] if there is none. */
    fun meanMeasuredAt(
        sources: List<LoadSource>,
        now: Instant,
    ): Instant {
        if (sources.isEmpty()) return now
        val age = sources.fold(Duration.ZERO) { sum, source -> sum + (now - source.measuredAt) }
        return now - age / sources.size
    }

    private fun changed(
        load: FleetLoad,
        change: (LoadSources) -> LoadSources,
    ): FleetLoad = load.copy(sources = change(load.sources))

    private fun isFresh(
        source: LoadSource,
        now: Instant,
    ): Boolean = now - source.receivedAt < FRESHNESS

    /** Returns true if [source] was sent before [known]; once [known] is no longer fresh, any message replaces it. */
    private fun isOutdated(
        source: LoadSource,
        known: LoadSource?,
    ): Boolean =
        known != null &&
            isFresh(known, source.receivedAt) &&
            source.senderStartedAt == known.senderStartedAt &&
            source.sequence <= known.sequence

    /** Several intervals of the frequent messages; older ones are replaced by the periodic reports. */
    val FRESHNESS: Duration = 800.milliseconds
}
