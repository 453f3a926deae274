package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.engine.EngineView
import org.acaciaflow.coordination.engine.RateEstimator
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.EngineProperties
import kotlin.time.Instant

/** Lists the backend servers that a request may be sent to. */
internal class Candidates(
    private val tables: RelayTables,
    private val ownDataCentre: DataCentre,
) {
    /** Usable servers of [request]'s pool that it may still be sent to as of [now]. */
    fun of(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): List<BackendEntry> {
        val usable =
            tables.fleet
                .snapshot()
                .usableIn(request.pool)
                .filter { mayReach(request, progress, it) }
        return withRoom(request, usable.filter { isHeard(it.life, now) }.ifEmpty { usable })
    }

    /** False while [life] cannot be reached or heard, here or at another gateway. */
    private fun isHeard(
        life: BackendLife,
        now: Instant,
    ): Boolean {
        val load = tables.load.snapshot()
        val avoidedUntil = tables.reliability.snapshot()[life]?.avoidedUntil
        return (avoidedUntil == null || avoidedUntil <= now) &&
            (load.suspected[life] ?: now) <= now &&
            load.ownAt(life).silence(now) <= ReliabilityPolicy.STREAM_SILENCE_LIMIT
    }

    /** What is known of the engines among [engines]. */
    fun view(
        engines: List<BackendEntry>,
        properties: EngineProperties,
        pool: PoolName,
    ): EngineView =
        EngineView(
            engines = engines,
            load = tables.load.snapshot(),
            caches = tables.caches.snapshot(),
            records = tables.reliability.snapshot(),
            rates = tables.rates.snapshot()[pool] ?: RateEstimator.INITIAL,
            properties = properties,
            ownDataCentre = ownDataCentre,
        )

    /** Gateways that share the bounds of pools, this one included. */
    fun gateways(): Int {
        val peers = tables.peers.snapshot()
        return (peers.registered + peers.heard.keys).size + 1
    }

    private fun mayReach(
        request: RelayedRequest,
        progress: RelayProgress,
        entry: BackendEntry,
    ): Boolean {
        if (entry.life in progress.excluded) return false
        return entry.life in progress.reached || progress.reached.size < request.route.maximumAttempts
    }

    /** Leaves out servers whose connections are used up by this gateway's part of them. */
    private fun withRoom(
        request: RelayedRequest,
        entries: List<BackendEntry>,
    ): List<BackendEntry> {
        val maximum = request.service?.maximumConnections ?: return entries
        val part = (maximum * USED_CONNECTIONS / gateways()).toInt().coerceAtLeast(1)
        val load = tables.load.snapshot()
        return entries.filter { load.ownAt(it.life).jobs.size < part }
    }

    private companion object {
        const val USED_CONNECTIONS = 0.9 // connections that close are counted for a while at the other end
    }
}
