package org.acaciaflow.transport.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.internal.VertxInternal
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers of a gateway whose only event loop is behind, who leave before their requests are sent to a server. */
class DepartedCallersTest : AnnotationSpec() {
    private val clock = createSteadyClock()
    private val kinds =
        listOf(RequestKind.Idempotent, RequestKind.AtMostOnce, RequestKind.EventStream(resumable = true))

    /** Guards against a gateway that reads a request, sends it on, and only then reads that its caller has left. */
    @Test
    suspend fun `a request that is read after its caller has left is not sent on`() {
        for (kind in kinds) {
            play(kind, Conditions()) { gateway ->
                val held = gateway.holdEventLoop()
                val callers = List(CALLERS) { gateway.call("late-$it") }
                callers.forEach { it.close() }
                held.countDown()
                delay(SETTLING)

                withClue(kind) { gateway.sentOn("late").shouldBeEmpty() }
            }
        }
    }

    /** Guards against waiting requests that start one after the other while nobody reads that their callers leave. */
    @Test
    suspend fun `a request whose caller leaves while others start is not sent on`() {
        for (kind in kinds) {
            play(kind, Conditions(startTime = 40.milliseconds)) { gateway ->
                val held = gateway.holdEventLoop()
                val callers = List(CALLERS) { gateway.call("waiting-$it") }
                held.countDown()
                while (gateway.sentOn("waiting").isEmpty()) delay(1)
                callers.forEach { it.close() }
                delay(40.milliseconds * CALLERS + SETTLING)

                withClue(kind) { gateway.sentOn("waiting").size shouldBeLessThan CALLERS / 4 }
            }
        }
    }

    /** Guards against requests that are left waiting while the gateway reads its sockets between their starts. */
    @Test
    suspend fun `requests whose callers stay are all sent on`() {
        for (kind in kinds) {
            play(kind, Conditions(startTime = 2.milliseconds)) { gateway ->
                val callers = List(CALLERS) { gateway.call("staying-$it") }
                callers.forEach { readStatus(it) shouldBe "HTTP/1.1 200 OK" }

                withClue(kind) { gateway.sentOn("staying") shouldHaveSize CALLERS }
            }
        }
    }

    /** Guards against a request that waits for a connection past its deadline and is sent on all the same. */
    @Test
    suspend fun `a request whose deadline passes before its connection is there is not sent on`() {
        val conditions = Conditions(heldAfterStart = 500.milliseconds, timeLimit = 300.milliseconds, isWarm = false)
        for (kind in kinds) {
            play(kind, conditions) { gateway ->
                gateway.call("overdue").use { delay(500.milliseconds + SETTLING) }

                withClue(kind) { gateway.sentOn("overdue").shouldBeEmpty() }
            }
        }
    }

    /** Runs [scenario] with a gateway; if it is warm, it has an idle connection to its server for each caller. */
    private suspend fun play(
        kind: RequestKind,
        conditions: Conditions,
        scenario: suspend (TestGateway) -> Unit,
    ) {
        val runtime = createSingleLoopRuntime(clock)
        val backend = RawBackend { output, id, _ -> answer(output, id) }
        try {
            withTimeout(30.seconds) {
                val gateway = TestGateway(start(runtime, kind, backend, conditions), runtime, backend)
                if (conditions.isWarm) List(CALLERS) { gateway.call("first-$it") }.forEach { readStatus(it) }
                scenario(gateway)
            }
        } finally {
            backend.close()
            runtime.close()
        }
    }

    private fun RawBackend.answer(
        output: OutputStream,
        id: String,
    ) {
        if (id.startsWith("first")) Thread.sleep(900) // so that each of these requests opens a connection
        write(output, "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nContent-Length: 2\r\n\r\nok")
    }

    private suspend fun start(
        runtime: SingleLoopRuntime,
        kind: RequestKind,
        backend: RawBackend,
        conditions: Conditions,
    ): Int {
        val tables = tablesWith(kind, backend.address)
        val observations = SlowStarts(runtime, conditions)
        val connections =
            DirectConnections(
                runtime.vertx,
                TestDialect,
                createBackendAvailability(tables),
                createConnectionObserver(),
                VertxHttpCalls(runtime.vertx, maximumBytes = 1024),
                runtime.workers.scope,
                clock,
            )
        val ports =
            RelayPorts(
                connections,
                IdDialect(conditions.timeLimit),
                ServerSentEvents,
                observations,
                clock,
                Random(1),
                runtime.workers.scope,
                runtime.socketReads,
            )
        val relay = createRequestRelay(tables, ports, DATA_CENTRE, RetryBounds(1.0, 1.0, 1.seconds))
        val frontEnd = FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1024, bufferedBytes = 1024, ports.stop)
        return CallerServer(runtime.vertx, relay, observations, runtime.workers.scope, frontEnd)
            .start(HostAddress("127.0.0.1", 0))
            .actualPort()
    }

    private fun tablesWith(
        kind: RequestKind,
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
                target = 1.seconds,
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
            )
        tables.routing.update { KnownRouting(configuration, ByteString()) }
        tables.fleet.update { it.copy(entries = it.entries.put(entry.life.instance, entry)) }
        return tables
    }

    private fun readStatus(caller: Socket): String =
        caller.use { checkNotNull(it.getInputStream().bufferedReader().readLine()) { "no answer" } }

    private class TestGateway(
        private val port: Int,
        private val runtime: DaemonRuntime,
        private val backend: RawBackend,
    ) {
        /** Sends a request and returns its connection. */
        fun call(requestId: String): Socket {
            val socket = Socket("127.0.0.1", port)
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
    }

    /**
     * What holds up the event loop.
     *
     * Each request takes [startTime] to start, and the loop does something else for [heldAfterStart] after that.
     */
    private data class Conditions(
        val startTime: Duration = Duration.ZERO,
        val heldAfterStart: Duration = Duration.ZERO,
        val timeLimit: Duration = 10.seconds,
        val isWarm: Boolean = true,
    )

    /** Holds up the event loop when a request is started, as in a gateway that is short of processor. */
    private class SlowStarts(
        private val runtime: SingleLoopRuntime,
        private val conditions: Conditions,
    ) : Observations by runtime.observations {
        override fun decided(decision: Decision) {
            if (decision is Decision.Sent) holdUp()
            runtime.observations.decided(decision)
        }

        private fun holdUp() {
            Thread.sleep(conditions.startTime.inWholeMilliseconds)
            val eventLoop = (runtime.vertx as VertxInternal).nettyEventLoopGroup().next()
            eventLoop.execute { Thread.sleep(conditions.heldAfterStart.inWholeMilliseconds) }
        }
    }

    private class IdDialect(
        private val timeLimit: Duration,
    ) : CallerDialect {
        override fun read(call: CallHead): Decoded<CallFacts> {
            val id = call.headers.first { it.name.equals("request-id", ignoreCase = true) }.value
            return Decoded.Valid(CallFacts(id, HOST, call.target, timeLimit, null, null, call))
        }
    }

    private companion object {
        const val HOST = "records.example"
        const val CALLERS = 16
        val SETTLING: Duration = 300.milliseconds
        val DATA_CENTRE = DataCentre("north")
        val POOL = PoolName("records")
    }
}
