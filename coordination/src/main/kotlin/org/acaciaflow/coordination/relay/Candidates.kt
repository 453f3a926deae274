package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.engine.EngineView
import org.acaciaflow.coordination.engine.RateEstimator
import org.acaciaflow.coordination.fleet.RestPolicy
import org.acaciaflow.coordination.fleet.RestStanding
import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.limit.LimitStanding
import org.acaciaflow.coordination.limit.LimitTokens
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.route.EngineProperties
import kotlin.time.Instant

/** Selects the backend servers that a request may be sent to. */
internal class Candidates(
    private val tables: RelayTables,
    private val ownDataCentre: DataCentre,
) {
    /**
     * Returns the usable servers of [request]'s pool that it may still be sent to at [now].
     *
     * They have the software version at which the caller's stream began, if it has begun.
     * Unresponsive servers are included only when no server is responsive.
     */
    fun of(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): List<BackendEntry> {
        val fleet = tables.fleet.snapshot()
        val notices = tables.notices.snapshot()
        val limits = tables.limits.snapshot()
        val usable =
            fleet
                .usableIn(request.pool)
                .filter { mayAttempt(request, progress, it) }
                .filter {
                    SendPermission.of(fleet, notices, it, request.facts.requestId, now) !is SendPermission.Denied
                }.filter { standing(limits, request, it, now) !is LimitStanding.HeldBack }
        return withFreeConnections(request, usable.filter { isResponsive(it.life, now) }.ifEmpty { usable })
    }

    /**
     * Returns why no server takes [request] as of [now].
     *
     * Prefill engines are left out, since they alone can't serve a request.
     */
    fun shortage(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): Shortage {
        val notices = tables.notices.snapshot()
        val limits = tables.limits.snapshot()
        val all =
            tables.fleet
                .snapshot()
                .usableIn(request.pool)
                .filter { it.role != EngineRole.PREFILL }
        if (all.isNotEmpty() && all.none { progress.versions.allows(it.software) }) {
            return Shortage.VersionGone(isCertain = tables.store.snapshot().failingSince == null)
        }
        val servers = all.filter { mayAttempt(request, progress, it) }
        val rests =
            servers
                .associateWith { RestPolicy.standing(notices, it.life, request.facts.requestId, now) }
                .filterValues { it is RestStanding.Resting }
        val awake = servers - rests.keys
        val heldBack =
            awake
                .associateWith { standing(limits, request, it, now) }
                .mapNotNull { (server, standing) -> heldBack(server, standing) }
        if (heldBack.size < awake.size) return Shortage.NoneLeft
        val next = heldBack.minByOrNull { it.until ?: Instant.DISTANT_FUTURE }
        if (next != null) return next
        val resting = rests.values.filterIsInstance<RestStanding.Resting>()
        return resting.minOfOrNull { it.until }?.let { Shortage.AllResting(it) } ?: Shortage.NoneLeft
    }

    private fun heldBack(
        server: BackendEntry,
        standing: LimitStanding,
    ): Shortage.HeldBack? =
        when (standing) {
            LimitStanding.Open, LimitStanding.MayStart -> null
            is LimitStanding.HeldBack -> Shortage.HeldBack(server, standing.until)
        }

    private fun standing(
        limits: ServerLimits,
        request: RelayedRequest,
        server: BackendEntry,
        now: Instant,
    ): LimitStanding =
        LimitTokens.standing(limits.byLife[server.life], request.facts.requestId, request.route.urgency, now)

    /** Returns false while this or another gateway finds [life] unreachable or silent. */
    private fun isResponsive(
        life: BackendLife,
        now: Instant,
    ): Boolean {
        val load = tables.load.snapshot()
        val backoffUntil = tables.reliability.snapshot()[life]?.backoffUntil
        return (backoffUntil == null || backoffUntil <= now) &&
            (load.suspected[life] ?: now) <= now &&
            load.ownAt(life).silence(now) <= ReliabilityPolicy.STREAM_SILENCE_LIMIT
    }

    /** Returns the state of [engines] as known to this gateway, for [request]. */
    fun view(
        engines: List<BackendEntry>,
        properties: EngineProperties,
        request: RelayedRequest,
    ): EngineView =
        EngineView(
            engines = engines,
            load = tables.load.snapshot(),
            caches = tables.caches.snapshot(),
            reliability = tables.reliability.snapshot(),
            rates = tables.rates.snapshot()[request.pool] ?: RateEstimator.INITIAL,
            averagePrefill = tables.meanPrefills.snapshot()[request.route.name]?.tokens,
            properties = properties,
            ownDataCentre = ownDataCentre,
        )

    /** Returns the number of gateways that share the limits of each pool, including this one. */
    fun gatewayCount(): Int = tables.peers.snapshot().servingCount + 1

    private fun mayAttempt(
        request: RelayedRequest,
        progress: RelayProgress,
        entry: BackendEntry,
    ): Boolean {
        if (!progress.versions.allows(entry.software) || entry.life in progress.excluded) return false
        return entry.life in progress.reached || progress.reached.size < request.route.maximumAttempts
    }

    /** Drops the servers at which this gateway already uses its share of the maximum connections. */
    private fun withFreeConnections(
        request: RelayedRequest,
        entries: List<BackendEntry>,
    ): List<BackendEntry> {
        val maximum = request.service?.maximumConnections ?: return entries
        val share = (maximum * USABLE_CONNECTION_SHARE / gatewayCount()).toInt().coerceAtLeast(1)
        val load = tables.load.snapshot()
        return entries.filter { load.ownAt(it.life).jobs.size < share }
    }

    private companion object {
        const val USABLE_CONNECTION_SHARE = 0.9 // the server still counts closing connections for a while
    }
}
