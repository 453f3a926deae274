package org.acaciaflow.transport.rehearsal

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.coordination.relay.RelayPorts
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.createRequestRelay
import org.acaciaflow.coordination.relay.rememberedOrigins
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.protocol.dialect.HttpCalls
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.protocol.dialect.RehearsalScript
import org.acaciaflow.protocol.http.RefusalEncoder
import org.acaciaflow.protocol.http.ServerSentEvents
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.http.CallerServer
import org.acaciaflow.transport.http.FixedFrontEnd
import org.acaciaflow.transport.observation.MeteredObservations
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The components of a gateway that its rehearsal uses. */
internal data class RehearsalDependencies(
    val vertx: Vertx,
    val scope: CoroutineScope,
    val socketReads: SocketReads,
    val script: RehearsalScript,
    val callers: CallerDialect,
    val refusals: RefusalEncoder,
    val connections: BackendConnections,
    val calls: HttpCalls,
    val clock: Clock,
)

/** The number of [answered] calls of a rehearsal and its duration. */
internal data class RehearsalResult(
    val answered: Int,
    val elapsed: Duration,
)

/**
 * Warms up a gateway: sends requests through the whole request path inside this process, so that the JVM has compiled
 * it before the first callers connect.
 */
internal class Rehearsal(
    private val dependencies: RehearsalDependencies,
) {
    /** Runs until all calls are made, [shouldContinue] returns false or [TIME_LIMIT] has elapsed. */
    suspend fun run(shouldContinue: () -> Boolean): RehearsalResult {
        val answered = AtomicInteger()
        val startedAt = dependencies.clock.now()
        withTimeoutOrNull(TIME_LIMIT) { rehearse(shouldContinue, answered) }
        return RehearsalResult(answered.get(), dependencies.clock.now() - startedAt)
    }

    private suspend fun rehearse(
        shouldContinue: () -> Boolean,
        answered: AtomicInteger,
    ) {
        val backend = RehearsalBackend(dependencies.vertx, dependencies.script).start(LOOPBACK)
        val tables = createRelayTables()
        RehearsalFleet.populate(tables, HostAddress(LOOPBACK, backend.actualPort()))
        val observations = MeteredObservations(PrometheusMeterRegistry(PrometheusConfig.DEFAULT))
        val ports =
            RelayPorts(
                dependencies.connections,
                dependencies.callers,
                ServerSentEvents,
                observations,
                dependencies.clock,
                Random.Default,
                dependencies.scope,
                dependencies.socketReads,
                tables.rememberedOrigins(dependencies.clock),
            )
        val relay = createRequestRelay(tables, ports, RehearsalFleet.DATA_CENTRE, RetryBounds(1.0, 1.0, TIME_LIMIT))
        val frontEnd = FixedFrontEnd(dependencies.refusals, BODY_LIMIT.toLong(), BODY_LIMIT, ports.stop)
        val server =
            CallerServer(dependencies.vertx, relay, observations, dependencies.scope, frontEnd, dependencies.clock)
        val gateway = server.start(HostAddress(LOOPBACK, 0))
        try {
            runCallers(HostAddress(LOOPBACK, gateway.actualPort()), shouldContinue, answered)
        } finally {
            gateway.close().coAwait()
            backend.close().coAwait()
        }
    }

    private suspend fun runCallers(
        gateway: HostAddress,
        shouldContinue: () -> Boolean,
        answered: AtomicInteger,
    ) = coroutineScope {
        repeat(CALLERS) { caller ->
            launch {
                for (number in 1..CALLS_PER_CALLER) {
                    if (!shouldContinue()) return@launch
                    if (callOnce(gateway, "$caller$number") is HttpResult.Answered) answered.incrementAndGet()
                }
            }
        }
    }

    private suspend fun callOnce(
        gateway: HostAddress,
        requestId: String,
    ): HttpResult {
        val fields = dependencies.script.callerFields(requestId, PROMPT_TOKENS)
        val head = CallHead("POST", RehearsalFleet.PATH, fields)
        return dependencies.calls.call(gateway, head, ByteString(ByteArray(BODY_BYTES)), CALL_TIMEOUT)
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val CALLERS = 4
        const val CALLS_PER_CALLER = 25 // per-event methods exceed the about 200 calls after which the JIT compiles
        const val PROMPT_TOKENS = 3000
        const val BODY_BYTES = 2000
        const val BODY_LIMIT = 1024 * 1024
        val CALL_TIMEOUT: Duration = 2.seconds
        val TIME_LIMIT: Duration = 6.seconds
    }
}
