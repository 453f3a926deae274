package org.acaciaflow.transport.process

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.StopStep
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.peer.PeerRegistration
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.StopNotice
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.coordination.store.LapsedEntryRemoval
import org.acaciaflow.coordination.store.StoreWatcher
import org.acaciaflow.protocol.settings.EntryHostSettings
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.transport.http.CallerServer
import org.acaciaflow.transport.http.OperatorsServer
import org.acaciaflow.transport.http.OperatorsView
import org.acaciaflow.transport.peer.ConfigurationExchange
import org.acaciaflow.transport.peer.PeerExchange
import org.acaciaflow.transport.rehearsal.Rehearsal
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway on a platform's entry host, which accepts calls and sends them directly to backend servers. */
internal class EntryGatewayDaemon(
    private val settings: EntryHostSettings,
    private val self: ProcessIdentity,
    private val runtime: DaemonRuntime,
    private val tables: RelayTables,
    private val watcher: StoreWatcher,
    private val lapsedEntries: LapsedEntryRemoval,
    private val registration: PeerRegistration,
    private val origins: OriginKeeping,
    private val peers: PeerExchange,
    private val configurations: ConfigurationExchange,
    private val callers: CallerServer,
    private val rehearsal: Rehearsal,
    private val stop: StopSignal,
    private val clock: Clock,
) : Daemon,
    OperatorsView {
    @Volatile
    private var rehearsed = false

    override val ready: Boolean
        get() =
            !stop.requested &&
                rehearsed &&
                watcher.synchronized &&
                tables.routing
                    .snapshot()
                    .configuration.known

    /** Opens the callers' port first: after an outage of all hosts, a refused connection costs a caller an attempt. */
    override suspend fun start() {
        val workers = runtime.workers
        workers.startLoop("store-watch") { watcher.run() }
        callers.start(settings.callers)
        runtime.observations.start(workers, clock)
        OperatorsServer(runtime.vertx, runtime.registry, this, settings.readinessPath).start(settings.readiness)
        runtime.observations.event(Event.ProcessStarted(self))
        peers.start()
        configurations.start()
        OperatorsServer(runtime.vertx, runtime.registry, this).start(settings.metrics)
        workers.startLoop("peer-registration") { registration.run() }
        workers.startLoop("stream-records") { origins.writer.run() }
        workers.startLoop("stream-record-reads") { origins.reader.run() }
        workers.startLoop("software-versions") { origins.keeper.run() }
        workers.startLoop("lapsed-entries") { lapsedEntries.run() }
        workers.startLoop("table-pruning") { pruneTables() }
        workers.scope.launch { rehearse() }
    }

    /**
     * Fails the readiness check at once, drains calls, and returns before the platform kills the process.
     *
     * The callers' port closes before the process ends, so that no request is read that nobody would answer.
     */
    override suspend fun stop() {
        runtime.observations.event(Event.ProcessStopping(self))
        val now = clock.now()
        val notice = StopNotice(requestedAt = now, endsAt = now + settings.gracePeriod - KILL_MARGIN)
        stop.drain(notice)
        peers.stopping = true
        withTimeoutOrNull(notice.endsAt - now) {
            delay(BALANCER_DELAY)
            callers.awaitIdle(REQUIRED_IDLE_TIME) // callers keep reusing their connections
        }
        closeCallers(notice)
        runtime.observations.flush(clock.now())
        runtime.observations.event(Event.ProcessStopped(self))
    }

    /** Refuses new requests, lets those in progress go on until the notice ends, and closes all connections. */
    private suspend fun closeCallers(notice: StopNotice) =
        coroutineScope {
            stop.close()
            report(StopStep.CLOSING, notice)
            val left = (notice.endsAt - clock.now()).coerceAtLeast(Duration.ZERO)
            val closing = async { callers.shutdown(left + CONCLUSION_TIME) }
            withTimeoutOrNull(left) { closing.join() }
            if (closing.isActive) report(StopStep.ENDING, notice)
            stop.end()
            closing.await()
            report(StopStep.CLOSED, notice)
            if (callers.openCalls > 0) runtime.observations.event(Event.StopLeftCalls(callers.openCalls))
        }

    private fun report(
        step: StopStep,
        notice: StopNotice,
    ) = runtime.observations.event(Event.StopAdvanced(step, callers.openCalls, notice.endsAt - clock.now()))

    override fun reload() = runtime.observations.event(Event.SettingsReloaded)

    override val failingLoops: List<String>
        get() = failingLoops(runtime.workers.loops)

    override val readinessNotes: List<String>
        get() = StoreStatus.readinessNotes(tables.store.snapshot(), clock.now())

    override fun status(): String = EntryGatewayStatus.describe(self, tables, runtime.workers.loops, clock.now())

    /** Skips the rehearsal, or ends it early, when callers have open calls, since both compete for the processor. */
    private suspend fun rehearse() {
        try {
            delay(REHEARSAL_DELAY)
            if (callers.openCalls == 0) {
                val result = rehearsal.run { callers.openCalls == 0 && !stop.requested }
                runtime.observations.event(Event.Rehearsed(result.answered, result.elapsed))
            }
        } finally {
            rehearsed = true // a gateway whose rehearsal failed still serves, only more slowly at first
        }
    }

    /** Periodically removes outdated entries from the load, prompt cache and crash tables. */
    private suspend fun pruneTables() {
        while (true) {
            delay(PRUNE_INTERVAL)
            val now = clock.now()
            watcher.reportStaleness(now)
            val registered =
                tables.fleet
                    .snapshot()
                    .entries.values
                    .map { it.life }
                    .toSet()
            tables.load.update { load -> LoadLedger.pruned(load, now) { it in registered } }
            tables.caches.update { caches ->
                caches.keys.filterNot { it in registered }.fold(caches) { rest, old -> rest.remove(old) }
            }
            tables.crashes.update { CrashQuarantine.pruned(it, now) }
        }
    }

    private companion object {
        val REHEARSAL_DELAY: Duration = 150.milliseconds // after an outage of all hosts, callers reconnect at once
        val BALANCER_DELAY: Duration = 3.seconds // two failed readiness checks of the load balancer, one second apart
        val KILL_MARGIN: Duration = 1.seconds // includes the time that the JVM takes to exit
        val CONCLUSION_TIME: Duration = 300.milliseconds // to write the last answers
        val REQUIRED_IDLE_TIME: Duration = 600.milliseconds
        val PRUNE_INTERVAL: Duration = 250.milliseconds
    }
}
