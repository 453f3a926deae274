package org.acaciaflow.transport.process

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.plan.EngineReconciler
import org.acaciaflow.coordination.sidecar.BackendSupervisor
import org.acaciaflow.coordination.sidecar.SidecarTables
import org.acaciaflow.protocol.settings.SidecarSettings
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.transport.http.OperatorsServer
import org.acaciaflow.transport.http.OperatorsView
import org.acaciaflow.transport.link.ExchangeQueue
import org.acaciaflow.transport.link.LinkServer
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A sidecar that accepts links from gateways and calls one model engine or plain service. */
internal class SidecarDaemon(
    private val settings: SidecarSettings,
    private val self: ProcessIdentity,
    private val runtime: DaemonRuntime,
    private val tables: SidecarTables,
    private val configuration: ConfigurationUpdater,
    private val supervisor: BackendSupervisor,
    private val reconciler: EngineReconciler?,
    private val exchanges: ExchangeQueue,
    private val links: LinkServer,
    private val clock: Clock,
) : Daemon,
    OperatorsView {
    override val ready: Boolean
        get() = tables.load.snapshot().phase == SidecarPhase.Serving

    override suspend fun start() {
        supervisor.probe()
        configuration.start(runtime.workers)
        runtime.workers.startWorkers(settings.capacity) { exchanges.serveNext() }
        links.start(settings.links)
        runtime.workers.startLoop("backend-probe") { superviseBackend() }
        reconciler?.let { EngineReconciliationLoop(it, links).start(runtime.workers) }
        OperatorsServer(runtime.vertx, runtime.registry, this).start(settings.operators)
        runtime.observations.event(Event.ProcessStarted(self))
    }

    override suspend fun stop() {
        runtime.observations.event(Event.ProcessStopping(self))
        tables.load.update { it.copy(phase = SidecarPhase.Leaving) }
        links.broadcastLoad()
        delay(LEAVING_DELAY)
        withTimeoutOrNull(DRAIN_TIMEOUT) { awaitIdle() }
        delay(FINAL_FRAMES_DELAY)
        runtime.observations.event(Event.ProcessStopped(self))
        runtime.close()
    }

    override val failingLoops: List<String>
        get() = failingLoops(runtime.workers.loops)

    override fun status(): String = SidecarStatus.describe(self, tables, runtime.workers.loops, clock.now())

    private suspend fun awaitIdle() {
        while (tables.load
                .snapshot()
                .running
                .isNotEmpty()
        ) {
            delay(DRAIN_POLL_INTERVAL)
        }
    }

    private suspend fun superviseBackend() {
        while (true) {
            delay(PROBE_INTERVAL)
            if (supervisor.probe()) links.broadcastLoad()
        }
    }

    private companion object {
        val PROBE_INTERVAL: Duration = 1000.milliseconds
        val LEAVING_DELAY: Duration = 500.milliseconds
        val FINAL_FRAMES_DELAY: Duration = 200.milliseconds
        val DRAIN_POLL_INTERVAL: Duration = 50.milliseconds
        val DRAIN_TIMEOUT: Duration = 120.seconds
    }
}
