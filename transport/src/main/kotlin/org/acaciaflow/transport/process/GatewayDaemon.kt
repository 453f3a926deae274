package org.acaciaflow.transport.process

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.gateway.GatewayCore
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.coordination.relay.StopNotice
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.settings.GatewaySettings
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.transport.http.CallerServer
import org.acaciaflow.transport.http.OperatorsServer
import org.acaciaflow.transport.http.OperatorsView
import org.acaciaflow.transport.link.HostListWatcher
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway that accepts calls and sends them to sidecars over links. */
internal class GatewayDaemon(
    private val settings: GatewaySettings,
    private val self: ProcessIdentity,
    private val runtime: DaemonRuntime,
    private val tables: GatewayTables,
    private val configuration: ConfigurationUpdater,
    private val hosts: HostListWatcher,
    private val core: GatewayCore,
    private val callers: CallerServer,
    private val stop: StopSignal,
    private val clock: Clock,
) : Daemon,
    OperatorsView {
    override val ready: Boolean
        get() = !stop.requested && tables.configuration.snapshot().revision != Configuration.NO_REVISION

    override suspend fun start() {
        configuration.start(runtime.workers)
        core.suspects.start(runtime.workers)
        hosts.start()
        runtime.workers.startWorkers(settings.exchangeWorkers) { core.worker.serveNext() }
        runtime.workers.startLoop("expiry-check") { refuseExpired() }
        OperatorsServer(runtime.vertx, runtime.registry, this).start(settings.operators)
        callers.start(settings.callers)
        runtime.observations.event(Event.ProcessStarted(self))
    }

    override suspend fun stop() {
        runtime.observations.event(Event.ProcessStopping(self))
        val now = clock.now()
        stop.drain(StopNotice(requestedAt = now, endsAt = now + BALANCER_DELAY + DRAIN_TIMEOUT))
        delay(BALANCER_DELAY)
        callers.shutdown(DRAIN_TIMEOUT)
        runtime.observations.flush(clock.now())
        runtime.observations.event(Event.ProcessStopped(self))
        runtime.close()
    }

    override val failingLoops: List<String>
        get() = failingLoops(runtime.workers.loops)

    override fun status(): String = GatewayStatus.describe(self, tables, runtime.workers.loops, clock.now())

    private suspend fun refuseExpired() {
        while (true) {
            delay(EXPIRY_CHECK_INTERVAL)
            core.worker.refuseExpired(clock.now())
        }
    }

    private companion object {
        val EXPIRY_CHECK_INTERVAL: Duration = 200.milliseconds
        val BALANCER_DELAY: Duration = 2.seconds
        val DRAIN_TIMEOUT: Duration = 120.seconds
    }
}
