package org.acaciaflow.transport.process

import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.caller.CallerTimeouts
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.peer.GatewayIdentity
import org.acaciaflow.coordination.peer.LoadExchange
import org.acaciaflow.coordination.peer.PeerGossip
import org.acaciaflow.coordination.peer.PeerRegistration
import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.relay.InitialConfigurationWait
import org.acaciaflow.coordination.relay.RelayPorts
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.createRequestRelay
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.coordination.store.LapsedEntryRemoval
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.coordination.store.StoreWatcher
import org.acaciaflow.protocol.http.RefusalEncoder
import org.acaciaflow.protocol.http.ServerSentEvents
import org.acaciaflow.protocol.settings.EntryHostSettings
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.direct.DirectConnections
import org.acaciaflow.transport.direct.VertxHttpCalls
import org.acaciaflow.transport.http.BodyLimits
import org.acaciaflow.transport.http.CallerServer
import org.acaciaflow.transport.http.FrontEnd
import org.acaciaflow.transport.observation.registerConnectionGauge
import org.acaciaflow.transport.observation.registerFleetGauges
import org.acaciaflow.transport.observation.registerStoreGauges
import org.acaciaflow.transport.observation.registerVersionGauges
import org.acaciaflow.transport.peer.ConfigurationExchange
import org.acaciaflow.transport.peer.PeerExchange
import org.acaciaflow.transport.rehearsal.Rehearsal
import org.acaciaflow.transport.rehearsal.RehearsalDependencies
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration

/** Builds a gateway for a platform's entry host. */
fun createEntryGatewayDaemon(
    settings: EntryHostSettings,
    adapters: EntryGatewayAdapters,
    clock: Clock,
    random: Random,
): Daemon {
    val runtime = createSingleLoopRuntime(clock)
    val tables = createRelayTables()
    registerFleetGauges(runtime.registry, tables.fleet, tables.notices, tables.limits, clock)
    registerStoreGauges(runtime.registry, tables.store, tables.routing, clock)
    val calls = VertxHttpCalls(runtime.vertx, SHORT_ANSWER_BYTES, keepAlive = true)
    val store =
        adapters.openStore(
            PlatformStoreClients(
                kept = VertxHttpCalls(runtime.vertx, STORE_ANSWER_BYTES, keepAlive = true),
                single = VertxHttpCalls(runtime.vertx, STORE_ANSWER_BYTES),
            ),
        )
    val stop = StopSignal()
    val budget = LimitBudget(tables, settings.peers, runtime.observations)
    val availability =
        BackendAvailability(tables.fleet, tables.notices, budget, runtime.observations, clock, random)
    val connections =
        DirectConnections(
            runtime.vertx,
            adapters.backends,
            availability,
            tables.surplus,
            ConnectionObserver(runtime.observations),
            calls,
            runtime.workers.scope,
            clock,
            settings.answerHold,
            tables.forms,
        )
    registerConnectionGauge(runtime.registry, connections)
    val eras = StoreEraTracker(tables.store)
    val origins = createOriginKeeping(tables, store, eras, runtime.observations, clock, random)
    registerVersionGauges(runtime.registry, tables.versions, origins.writer)
    val ports =
        RelayPorts(
            connections = connections,
            dialect = adapters.callers,
            framing = ServerSentEvents,
            observations = runtime.observations,
            clock = clock,
            random = random,
            scope = runtime.workers.scope,
            socketReads = runtime.socketReads,
            origins = origins.origins,
            stop = stop,
            self = settings.peers,
        )
    val relay = createRequestRelay(tables, ports, settings.dataCentre, settings.retryBounds)
    val updater = RoutingUpdater(adapters.documents, tables.routing, runtime.observations)
    val frontEnd =
        ConfiguredFrontEnd(
            adapters.refusals,
            adapters.callers,
            tables,
            InitialConfigurationWait(tables.routing, clock.now()),
            stop,
            clock,
        )
    return EntryGatewayDaemon(
        settings = settings,
        self = newProcessIdentity(settings.peers),
        runtime = runtime,
        tables = tables,
        watcher = createStoreWatcher(settings, adapters, store, eras, runtime, tables, updater, clock, random),
        lapsedEntries = LapsedEntryRemoval(tables.fleet, tables.store, clock),
        registration =
            PeerRegistration(
                store = store.writes,
                key = adapters.registrationKey,
                value = settings.name.encodeToByteString(),
                eras = eras,
                observations = runtime.observations,
                clock = clock,
                random = random,
            ),
        origins = origins,
        peers = createPeerExchange(settings, runtime, tables, clock),
        configurations =
            ConfigurationExchange(
                self = settings.peers,
                selector = runtime.selector,
                routing = tables.routing,
                updater = updater,
                peers = tables.peers,
                observations = runtime.observations,
                supervisor = runtime.workers,
                scope = runtime.workers.scope,
                clock = clock,
            ),
        callers = CallerServer(runtime.vertx, relay, runtime.observations, runtime.workers.scope, frontEnd, clock),
        rehearsal = createRehearsal(adapters, runtime, connections, calls, clock),
        stop = stop,
        clock = clock,
    )
}

private fun createStoreWatcher(
    settings: EntryHostSettings,
    adapters: EntryGatewayAdapters,
    store: PlatformStorePorts,
    eras: StoreEraTracker,
    runtime: DaemonRuntime,
    tables: RelayTables,
    updater: RoutingUpdater,
    clock: Clock,
    random: Random,
): StoreWatcher =
    StoreWatcher(
        self = settings.peers,
        feed = store.changes,
        eras = eras,
        documents = adapters.documents,
        routing = updater,
        fleet = tables.fleet,
        peers = tables.peers,
        knowledge = tables.store,
        versions = tables.versions,
        observations = runtime.observations,
        clock = clock,
        random = random,
    )

private fun createRehearsal(
    adapters: EntryGatewayAdapters,
    runtime: SingleLoopRuntime,
    connections: DirectConnections,
    calls: VertxHttpCalls,
    clock: Clock,
): Rehearsal =
    Rehearsal(
        RehearsalDependencies(
            vertx = runtime.vertx,
            scope = runtime.workers.scope,
            socketReads = runtime.socketReads,
            script = adapters.rehearsal,
            callers = adapters.callers,
            refusals = adapters.refusals,
            connections = connections,
            calls = calls,
            clock = clock,
        ),
    )

private fun createPeerExchange(
    settings: EntryHostSettings,
    runtime: DaemonRuntime,
    tables: RelayTables,
    clock: Clock,
): PeerExchange {
    val identity =
        GatewayIdentity(settings.peers, clock.now().toEpochMilliseconds(), settings.dataCentre, settings.cores)
    val loads = LoadExchange(identity, tables)
    return PeerExchange(
        self = settings.peers,
        seeds = settings.seeds,
        selector = runtime.selector,
        gossip = PeerGossip(identity, tables, loads, runtime.observations),
        loads = loads,
        peers = tables.peers,
        observations = runtime.observations,
        supervisor = runtime.workers,
        clock = clock,
    )
}

private const val SHORT_ANSWER_BYTES = 64 * 1024
private const val STORE_ANSWER_BYTES = 8 * 1024 * 1024 // several times the largest page of the store

/** A front end whose limits come from the configuration in force when a call arrives. */
private class ConfiguredFrontEnd(
    override val refusals: RefusalEncoder,
    private val dialect: CallerDialect,
    private val tables: RelayTables,
    private val initialConfiguration: InitialConfigurationWait,
    private val stop: StopSignal,
    private val clock: Clock,
) : FrontEnd {
    override val stopping: Boolean
        get() = stop.requested

    override val timeouts: CallerTimeouts
        get() {
            val limits =
                tables.routing
                    .snapshot()
                    .configuration.limits
            return CallerTimeouts(limits.headerTimeout, limits.idleTimeout)
        }

    override fun timeLimitOf(call: CallHead): Duration? =
        when (val decoded = dialect.read(call)) {
            is Decoded.Invalid -> null
            is Decoded.Valid -> decoded.value.timeLimit
        }

    /** Buffers the whole body, since a retry sends it again. Without a configuration, no limit of it is exceeded. */
    override suspend fun bodyLimits(): BodyLimits {
        initialConfiguration.await(clock)
        val configuration = tables.routing.snapshot().configuration
        val limit = configuration.limits.bodyBytes
        val excess = if (configuration.known) NotRun.BODY_TOO_LARGE else NotRun.NO_CONFIGURATION
        return BodyLimits(maximumBytes = limit, bufferedBytes = limit, excess)
    }
}
