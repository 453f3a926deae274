package org.acaciaflow.transport.engine

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.port.EngineControl
import org.acaciaflow.coordination.port.EngineReading
import org.acaciaflow.coordination.port.OrderOutcome
import org.acaciaflow.protocol.engine.EngineOrderDocument
import org.acaciaflow.protocol.engine.EnginePaths
import org.acaciaflow.protocol.engine.EngineReportDocument
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.protocol.plan.toDocument
import org.acaciaflow.protocol.plan.toState
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState
import java.io.IOException
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads an engine's state and sends it orders over HTTP; I/O, timeout and decoding failures become outcomes. */
internal class HttpEngineControl(
    vertx: Vertx,
    private val engine: HostAddress,
) : EngineControl {
    /** Opens a connection for each call: nothing in an answer tells it from a late copy of an earlier one. */
    private val client = WebClient.create(vertx, WebClientOptions().setKeepAlive(false))
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun read(): EngineReading = withFallback({ fetchState() }, EngineReading.Unreachable)

    override suspend fun order(
        desired: EngineState,
        fencing: Long,
    ): OrderOutcome = withFallback({ sendOrder(desired, fencing) }, OrderOutcome.IN_DOUBT)

    private suspend fun fetchState(): EngineReading {
        val response =
            client
                .get(engine.port, engine.ip, EnginePaths.STATE)
                .timeout(CALL_TIMEOUT.inWholeMilliseconds)
                .send()
                .coAwait()
        val report = json.decodeForeign(EngineReportDocument.serializer(), response.bodyAsString().orEmpty())
        return EngineReading.Known(report.state.toState(), report.changing)
    }

    private suspend fun sendOrder(
        desired: EngineState,
        fencing: Long,
    ): OrderOutcome {
        val order = EngineOrderDocument(desired.toDocument(), fencing)
        val response =
            client
                .post(engine.port, engine.ip, EnginePaths.ORDER)
                .timeout(CALL_TIMEOUT.inWholeMilliseconds)
                .sendBuffer(Buffer.buffer(json.encodeToString(EngineOrderDocument.serializer(), order)))
                .coAwait()
        return when (response.statusCode()) {
            ACCEPTED -> OrderOutcome.ACCEPTED
            CONFLICT -> OrderOutcome.FENCED
            else -> OrderOutcome.IN_DOUBT
        }
    }

    private suspend fun <Answer> withFallback(
        call: suspend () -> Answer,
        fallback: Answer,
    ): Answer =
        try {
            call()
        } catch (_: IOException) {
            fallback
        } catch (_: VertxException) {
            fallback
        } catch (_: TimeoutException) {
            fallback
        } catch (_: SerializationException) {
            fallback
        }

    private companion object {
        val CALL_TIMEOUT: Duration = 2.seconds
        const val ACCEPTED = 202
        const val CONFLICT = 409
    }
}
