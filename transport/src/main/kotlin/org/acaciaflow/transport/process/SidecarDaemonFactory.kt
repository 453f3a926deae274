package org.acaciaflow.transport.process

import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.plan.EngineReconciler
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.sidecar.AttemptAdmission
import org.acaciaflow.coordination.sidecar.BackendSupervisor
import org.acaciaflow.coordination.sidecar.SidecarExchange
import org.acaciaflow.coordination.sidecar.SidecarTables
import org.acaciaflow.coordination.sidecar.createSidecarTables
import org.acaciaflow.protocol.configuration.StoredConfigurationSource
import org.acaciaflow.protocol.plan.StoredPlanRecords
import org.acaciaflow.protocol.settings.SidecarSettings
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.transport.backend.VertxBackendCaller
import org.acaciaflow.transport.engine.HttpEngineControl
import org.acaciaflow.transport.link.ExchangeQueue
import org.acaciaflow.transport.link.LinkContext
import org.acaciaflow.transport.link.LinkServer
import org.acaciaflow.transport.store.EtcdKeyValueStore
import kotlin.time.Clock

/** Builds a sidecar from its settings. */
fun createSidecarDaemon(
    settings: SidecarSettings,
    clock: Clock,
): Daemon {
    val runtime = createRuntime(clock)
    val self = newProcessIdentity(settings.links)
    val tables = createSidecarTables(settings.capacity, JOURNAL_CAPACITY)
    val store = EtcdKeyValueStore(runtime.vertx, settings.store, runtime.registry, runtime.observations)
    val updater = ConfigurationUpdater(StoredConfigurationSource(store), tables.configuration, runtime.observations)
    val caller = VertxBackendCaller(runtime.vertx, settings.backend, settings.probePath, settings.capacity)
    val supervisor = BackendSupervisor(tables, caller, runtime.observations)
    val admission = AttemptAdmission(self, tables)
    val exchanges = ExchangeQueue(SidecarExchange(admission, caller, supervisor), runtime.observations)
    val links = createLinkServer(settings, self, runtime, tables, updater, admission, exchanges, clock)
    val reconciler = if (settings.isModelEngine) createReconciler(settings, runtime, store, tables) else null
    return SidecarDaemon(
        settings = settings,
        self = self,
        runtime = runtime,
        tables = tables,
        configuration = updater,
        supervisor = supervisor,
        reconciler = reconciler,
        exchanges = exchanges,
        links = links,
        clock = clock,
    )
}

private fun createReconciler(
    settings: SidecarSettings,
    runtime: DaemonRuntime,
    store: KeyValueStore,
    tables: SidecarTables,
): EngineReconciler =
    EngineReconciler(
        self = settings.links,
        key = PlanKey(settings.pool, settings.dataCentre),
        plans = StoredPlanRecords(store),
        engine = HttpEngineControl(runtime.vertx, settings.backend),
        load = tables.load,
        observations = runtime.observations,
    )

private fun createLinkServer(
    settings: SidecarSettings,
    self: ProcessIdentity,
    runtime: DaemonRuntime,
    tables: SidecarTables,
    updater: ConfigurationUpdater,
    admission: AttemptAdmission,
    exchanges: ExchangeQueue,
    clock: Clock,
): LinkServer =
    LinkServer(
        self = self,
        dataCentre = settings.dataCentre,
        pool = settings.pool,
        selector = runtime.selector,
        tables = tables,
        context = LinkContext(tables.configuration, updater, runtime.observations, clock),
        admission = admission,
        exchanges = exchanges,
        observations = runtime.observations,
        supervisor = runtime.workers,
        scope = runtime.workers.scope,
    )

private const val JOURNAL_CAPACITY = 16_384
