package org.acaciaflow.transport.process

import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.dispatch.DispatchPolicy
import org.acaciaflow.coordination.gateway.GatewayCore
import org.acaciaflow.coordination.gateway.GatewayPorts
import org.acaciaflow.coordination.gateway.GatewayRules
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.coordination.gateway.WakeUp
import org.acaciaflow.coordination.gateway.createGatewayCore
import org.acaciaflow.coordination.gateway.createGatewayTables
import org.acaciaflow.coordination.queue.QueueLimits
import org.acaciaflow.coordination.queue.QueuePolicy
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.coordination.selection.SelectionPolicy
import org.acaciaflow.protocol.configuration.StoredConfigurationSource
import org.acaciaflow.protocol.http.JsonBodyReader
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.protocol.http.ServerSentEvents
import org.acaciaflow.protocol.record.StoredExecutionRecords
import org.acaciaflow.protocol.settings.GatewaySettings
import org.acaciaflow.protocol.suspect.StoredSuspectRecords
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.transport.hosts.HttpHostList
import org.acaciaflow.transport.http.CallerServer
import org.acaciaflow.transport.http.FixedFrontEnd
import org.acaciaflow.transport.link.HostListWatcher
import org.acaciaflow.transport.link.LinkContext
import org.acaciaflow.transport.link.SidecarDirectory
import org.acaciaflow.transport.link.SidecarLinkRunner
import org.acaciaflow.transport.store.EtcdKeyValueStore
import kotlin.random.Random
import kotlin.time.Clock

/** Builds a gateway from its settings. */
fun createGatewayDaemon(
    settings: GatewaySettings,
    clock: Clock,
    random: Random,
): Daemon {
    val runtime = createRuntime(clock)
    val self = newProcessIdentity(settings.callers)
    val tables = createGatewayTables()
    val store = EtcdKeyValueStore(runtime.vertx, settings.store, runtime.registry, runtime.observations)
    val updater = ConfigurationUpdater(StoredConfigurationSource(store), tables.configuration, runtime.observations)
    val directory = SidecarDirectory(runtime.workers.scope)
    val wakeUp = WakeUp()
    val stop = StopSignal()
    val ports =
        GatewayPorts(
            records = StoredExecutionRecords(store),
            suspects = StoredSuspectRecords(store),
            connections = directory,
            bodyReader = JsonBodyReader(),
            framing = ServerSentEvents,
            observations = runtime.observations,
            clock = clock,
        )
    val core = createCore(settings, self, tables, ports, wakeUp, random)
    val runner = createLinkRunner(settings, self, runtime, directory, tables, updater, wakeUp, clock)
    val hosts = HttpHostList(runtime.vertx, settings.hostList, runtime.observations)
    return GatewayDaemon(
        settings = settings,
        self = self,
        runtime = runtime,
        tables = tables,
        configuration = updater,
        hosts = HostListWatcher(hosts, runner, runtime.observations, runtime.workers, random),
        core = core,
        callers = createCallerServer(settings, runtime, core, stop, clock),
        stop = stop,
        clock = clock,
    )
}

private fun createCore(
    settings: GatewaySettings,
    self: ProcessIdentity,
    tables: GatewayTables,
    ports: GatewayPorts,
    wakeUp: WakeUp,
    random: Random,
): GatewayCore {
    val limits = QueueLimits.DEFAULT
    val policy =
        DispatchPolicy(
            queue = QueuePolicy.RankedWithFloors(limits),
            selection = SelectionPolicy.LeastPredicted(SAMPLED_SERVERS),
        )
    return createGatewayCore(
        tables,
        ports,
        GatewayRules(self, settings.dataCentre, limits, policy),
        wakeUp,
        random,
    )
}

private fun createLinkRunner(
    settings: GatewaySettings,
    self: ProcessIdentity,
    runtime: DaemonRuntime,
    directory: SidecarDirectory,
    tables: GatewayTables,
    updater: ConfigurationUpdater,
    wakeUp: WakeUp,
    clock: Clock,
): SidecarLinkRunner =
    SidecarLinkRunner(
        self = self,
        dataCentre = settings.dataCentre,
        selector = runtime.selector,
        directory = directory,
        tables = tables,
        context = LinkContext(tables.configuration, updater, runtime.observations, clock),
        wakeUp = wakeUp,
        observations = runtime.observations,
        scope = runtime.workers.scope,
    )

private fun createCallerServer(
    settings: GatewaySettings,
    runtime: DaemonRuntime,
    core: GatewayCore,
    stop: StopSignal,
    clock: Clock,
): CallerServer =
    CallerServer(
        vertx = runtime.vertx,
        acceptor = core.arrivals,
        observations = runtime.observations,
        scope = runtime.workers.scope,
        frontEnd = FixedFrontEnd(RefusalAnswer::of, settings.bodyLimitBytes, BUFFERED_BYTES, stop),
        clock = clock,
    )

private const val SAMPLED_SERVERS = 3
private const val BUFFERED_BYTES = 1024 * 1024
