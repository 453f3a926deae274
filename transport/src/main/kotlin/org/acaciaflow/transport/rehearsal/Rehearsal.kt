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
import org.acaciaflow.coordination.relay.RelayPorts
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.createRequestRelay
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
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a rehearsal uses of the gateway that it prepares. */
internal data class RehearsalParts(
    val vertx: Vertx,
    val scope: CoroutineScope,
    val script: RehearsalScript,
    val callers: CallerDialect,
    val refusals: RefusalEncoder,
    val connections: BackendConnections,
    val calls: HttpCalls,
    val clock: Clock,
)

/** How many calls of a rehearsal were answered, and how long it [took]. */
internal data class RehearsalResult(
    val answered: Int,
    val took: Duration,
)

/**
 * Sends requests through the whole path inside this process, so that the virtual machine has compiled the path before
 * callers come.
 */
internal class Rehearsal(
    private val parts: RehearsalParts,
) {
    /** Rehearses until the path is warm, [isWanted] says no or [LIMIT] has passed. */
    suspend fun run(isWanted: () -> Boolean): RehearsalResult {
        val answered = AtomicInteger()
        val startedAt = parts.clock.now()
        withTimeoutOrNull(LIMIT) { rehearse(isWanted, answered) }
        return RehearsalResult(answered.get(), parts.clock.now() - startedAt)
    }

    private suspend fun rehearse(
        isWanted: () -> Boolean,
        answered: AtomicInteger,
    ) {
        val backend = RehearsalBackend(parts.vertx, parts.script).start(LOOPBACK)
        val tables = createRelayTables()
        RehearsalStage.fill(tables, HostAddress(LOOPBACK, backend.actualPort()))
        val observations = MeteredObservations(PrometheusMeterRegistry(PrometheusConfig.DEFAULT))
        val ports =
            RelayPorts(
                parts.connections,
                parts.callers,
                ServerSentEvents,
                observations,
                parts.clock,
                parts.scope,
            )
        val relay = createRequestRelay(tables, ports, RehearsalStage.DATA_CENTRE, RetryBounds(1.0, 1.0, LIMIT))
        val frontEnd = FixedFrontEnd(parts.refusals, BODY_LIMIT.toLong(), BODY_LIMIT)
        val server = CallerServer(parts.vertx, relay, observations, parts.scope, frontEnd)
        val gateway = server.start(HostAddress(LOOPBACK, 0))
        try {
            callAll(HostAddress(LOOPBACK, gateway.actualPort()), isWanted, answered)
        } finally {
            gateway.close().coAwait()
            backend.close().coAwait()
        }
    }

    private suspend fun callAll(
        gateway: HostAddress,
        isWanted: () -> Boolean,
        answered: AtomicInteger,
    ) = coroutineScope {
        repeat(CALLERS) { caller ->
            launch {
                for (number in 1..CALLS_OF_EACH) {
                    if (!isWanted()) return@launch
                    if (callOnce(gateway, "$caller$number") is HttpResult.Answered) answered.incrementAndGet()
                }
            }
        }
    }

    private suspend fun callOnce(
        gateway: HostAddress,
        requestId: String,
    ): HttpResult {
        val fields = parts.script.callerFields(requestId, PROMPT_TOKENS)
        val head = CallHead("POST", RehearsalStage.PATH, fields)
        return parts.calls.call(gateway, head, ByteString(ByteArray(BODY_BYTES)), CALL_TIMEOUT)
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val CALLERS = 4
        const val CALLS_OF_EACH = 25 // methods are compiled after some 200 invocations, those of events by then
        const val PROMPT_TOKENS = 3000
        const val BODY_BYTES = 2000
        const val BODY_LIMIT = 1024 * 1024
        val CALL_TIMEOUT: Duration = 2.seconds
        val LIMIT: Duration = 6.seconds
    }
}
