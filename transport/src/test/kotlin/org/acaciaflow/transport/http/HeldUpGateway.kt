package org.acaciaflow.transport.http

import io.vertx.core.Handler
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.VertxInternal
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.CallFacts
import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.coordination.relay.RelayPorts
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.createRequestRelay
import org.acaciaflow.coordination.relay.rememberedOrigins
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.protocol.http.ServerSentEvents
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutedService
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.direct.DirectConnections
import org.acaciaflow.transport.direct.RawBackend
import org.acaciaflow.transport.direct.TestDialect
import org.acaciaflow.transport.direct.VertxHttpCalls
import org.acaciaflow.transport.direct.createBackendAvailability
import org.acaciaflow.transport.direct.createConnectionObserver
import org.acaciaflow.transport.process.DaemonRuntime
import org.acaciaflow.transport.process.SingleLoopRuntime
import org.acaciaflow.transport.process.createSingleLoopRuntime
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A gateway with one server, whose only event loop can be held up. */
internal class HeldUpGateway(
    private val port: Int,
    private val runtime: DaemonRuntime,
    private val backend: RawBackend,
) {
    /** Sends a request and returns its connection. */
    fun call(requestId: String): Socket {
        val socket = Socket(LOOPBACK, port)
        socket.getOutputStream().write(
            "POST / HTTP/1.1\r\nHost: $HOST\r\nRequest-Id: $requestId\r\n\r\n".toByteArray(),
        )
        return socket
    }

    /** The ids of the requests that reached the server and begin with [prefix]. */
    fun sentOn(prefix: String): List<String> = backend.received.filter { it.startsWith(prefix) }

    /** Keeps the event loop busy until the returned latch is at zero. */
    fun holdEventLoop(): CountDownLatch {
        val holding = CountDownLatch(1)
        val release = CountDownLatch(1)
        runtime.workers.scope.launch {
            holding.countDown()
            release.await(10, TimeUnit.SECONDS)
        }
        holding.await()
        return release
    }

    /**
     * Keeps the event loop busy for [time] while it reads its sockets; what arrives meanwhile is read by the next pass.
     *
     * Counts [begun] down when that begins.
     */
    suspend fun holdReads(
        time: Duration,
        begun: CountDownLatch,
    ) {
        val holding =
            Handler<Buffer> {
                begun.countDown()
                Thread.sleep(time.inWholeMilliseconds)
            }
        val server = runtime.vertx.createNetServer().connectHandler { it.handler(holding) }
        val address = server.listen(0, LOOPBACK).coAwait()
        Socket(LOOPBACK, address.actualPort()).use {
            it.getOutputStream().write(1)
            delay(time)
        }
        server.close().coAwait()
    }
}

/** Runs [scenario] with a gateway in front of a server that answers by [script]. */
internal suspend fun withGateway(
    kind: RequestKind,
    holdUps: HoldUps,
    script: RawBackend.(output: OutputStream, requestId: String) -> Unit,
    scenario: suspend (HeldUpGateway) -> Unit,
) {
    val runtime = createSingleLoopRuntime(createSteadyClock())
    val backend = RawBackend { output, id, _ -> script(output, id) }
    try {
        withTimeout(30.seconds) {
            scenario(HeldUpGateway(startGateway(runtime, kind, backend, holdUps), runtime, backend))
        }
    } finally {
        backend.close()
        runtime.close()
    }
}

/** Reads the status line that [caller] gets, and closes its connection. */
internal fun readStatus(caller: Socket): String =
    caller.use { checkNotNull(it.getInputStream().bufferedReader().readLine()) { "no answer" } }

/**
 * What holds up the event loop, and what the callers of the gateway get.
 *
 * Each request takes [startTime] to start, and the loop does something else for [heldAfterStart] after
 * that. A call ends after [timeLimit] and is in time before [target].
 */
internal data class HoldUps(
    val startTime: Duration = Duration.ZERO,
    val heldAfterStart: Duration = Duration.ZERO,
    val timeLimit: Duration = 10.seconds,
    val target: Duration = 1.seconds,
)

/** Starts a gateway in [runtime] before [backend], with a route of [kind]; returns its port. */
private suspend fun startGateway(
    runtime: SingleLoopRuntime,
    kind: RequestKind,
    backend: RawBackend,
    holdUps: HoldUps,
): Int {
    val tables = tablesWith(kind, holdUps.target, backend.address)
    val clock = createSteadyClock()
    val observations = SlowStarts(runtime, holdUps)
    val connections =
        DirectConnections(
            runtime.vertx,
            TestDialect,
            createBackendAvailability(tables),
            tables.surplus,
            createConnectionObserver(),
            VertxHttpCalls(runtime.vertx, maximumBytes = 1024),
            runtime.workers.scope,
            clock,
        )
    val ports =
        RelayPorts(
            connections,
            IdDialect(holdUps.timeLimit),
            ServerSentEvents,
            observations,
            clock,
            Random(1),
            runtime.workers.scope,
            runtime.socketReads,
            tables.rememberedOrigins(clock),
        )
    val relay = createRequestRelay(tables, ports, DATA_CENTRE, RetryBounds(1.0, 1.0, 1.seconds))
    val frontEnd = FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1024, bufferedBytes = 1024, ports.stop)
    return CallerServer(runtime.vertx, relay, observations, runtime.workers.scope, frontEnd, ports.clock)
        .start(HostAddress(LOOPBACK, 0))
        .actualPort()
}

private fun tablesWith(
    kind: RequestKind,
    target: Duration,
    backend: HostAddress,
): RelayTables {
    val tables = createRelayTables()
    val route =
        Route(
            name = RouteName("records"),
            host = HOST,
            prefix = "/",
            kind = kind,
            timeout = 10.seconds,
            target = target,
            urgency = 0,
            destinations = persistentListOf(Destination(POOL, weight = 1)),
            maximumAttempts = 2,
            targetEventGap = null,
        )
    val configuration =
        RoutingConfiguration.NONE.copy(
            version = 1,
            routesByHost = persistentMapOf(HOST to persistentListOf(route)),
            services = persistentMapOf(POOL to RoutedService(POOL, maximumConnections = 100, engine = null)),
        )
    val entry =
        BackendEntry(
            life = BackendLife("one", startedAtMilliseconds = 1),
            pool = POOL,
            address = backend,
            dataCentre = DATA_CENTRE,
            slots = 100,
            draining = false,
            role = EngineRole.MIXED,
            software = SoftwareVersion("1"),
        )
    tables.routing.update { KnownRouting(configuration, ByteString()) }
    tables.fleet.update { it.copy(entries = it.entries.put(entry.life.instance, entry)) }
    return tables
}

/** Holds up the event loop when a request is started, as in a gateway that is short of processor. */
private class SlowStarts(
    private val runtime: SingleLoopRuntime,
    private val holdUps: HoldUps,
) : Observations by runtime.observations {
    override fun decided(decision: Decision) {
        if (decision is Decision.Sent) holdUp()
        runtime.observations.decided(decision)
    }

    private fun holdUp() {
        Thread.sleep(holdUps.startTime.inWholeMilliseconds)
        val eventLoop = (runtime.vertx as VertxInternal).nettyEventLoopGroup().next()
        eventLoop.execute { Thread.sleep(holdUps.heldAfterStart.inWholeMilliseconds) }
    }
}

private class IdDialect(
    private val timeLimit: Duration,
) : CallerDialect {
    override fun read(call: CallHead): Decoded<CallFacts> {
        val id = call.headers.first { it.name.equals("request-id", ignoreCase = true) }.value
        return Decoded.Valid(CallFacts(id, HOST, call.target, timeLimit, null, null, null, call))
    }
}

private const val HOST = "records.example"
private const val LOOPBACK = "127.0.0.1"
private val DATA_CENTRE = DataCentre("north")
private val POOL = PoolName("records")
