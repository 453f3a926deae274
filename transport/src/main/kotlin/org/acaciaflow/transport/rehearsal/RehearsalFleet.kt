package org.acaciaflow.transport.rehearsal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.EngineProperties
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutedService
import org.acaciaflow.state.route.RoutingConfiguration
import kotlin.time.Duration.Companion.seconds

/** The route of a rehearsal and its two engines, one for prefill and one for decode. */
internal object RehearsalFleet {
    const val PATH = "/rehearsal/"
    val DATA_CENTRE = DataCentre("rehearsal")
    private val POOL = PoolName("rehearsal")

    /** Adds the route and both engines, which share the address [engine], to [tables]. */
    fun populate(
        tables: RelayTables,
        engine: HostAddress,
    ) {
        val properties =
            EngineProperties(slots = 64, cacheTokens = 1_000_000, tokenBytes = 1, linkBitsPerMillisecond = 1.0e9)
        val configuration =
            RoutingConfiguration.NONE.copy(
                version = 1,
                routesByHost = persistentMapOf(engine.ip to persistentListOf(ROUTE)),
                services = persistentMapOf(POOL to RoutedService(POOL, maximumConnections = 64, engine = properties)),
            )
        tables.routing.update { KnownRouting(configuration, ByteString()) }
        val entries = listOf(EngineRole.PREFILL, EngineRole.DECODE).map { entryOf(it, engine) }
        tables.fleet.update { fleet ->
            fleet.copy(entries = fleet.entries.putAll(entries.associateBy { it.life.instance }))
        }
    }

    private fun entryOf(
        role: EngineRole,
        address: HostAddress,
    ): BackendEntry =
        BackendEntry(
            life = BackendLife(role.name, startedAtMilliseconds = 1),
            pool = POOL,
            address = address,
            dataCentre = DATA_CENTRE,
            slots = 64,
            draining = false,
            role = role,
            software = SoftwareVersion("1"),
        )

    private val ROUTE =
        Route(
            name = RouteName("rehearsal"),
            host = "127.0.0.1",
            prefix = PATH,
            kind = RequestKind.EventStream(resumable = true),
            timeout = 5.seconds,
            target = 1.seconds,
            urgency = 0,
            destinations = persistentListOf(Destination(POOL, weight = 1)),
            maximumAttempts = 2,
            targetEventGap = null,
        )
}
