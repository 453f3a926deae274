package org.acaciaflow.transport.engine

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.port.EngineControl
import org.acaciaflow.coordination.port.EngineReading
import org.acaciaflow.coordination.port.OrderOutcome
import org.acaciaflow.protocol.engine.EngineOrderDocument
import org.acaciaflow.protocol.engine.EnginePaths
import org.acaciaflow.protocol.engine.EngineReportDocument
import org.acaciaflow.protocol.plan.toDocument
import org.acaciaflow.protocol.plan.toState
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState
import java.io.IOException
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Orders to the engine over HTTP. */
internal class HttpEngineControl(
    vertx: Vertx,
    private val engine: HostAddress,
) : EngineControl {
    private val client = WebClient.create(vertx)
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun read(): EngineReading = answered({ reading() }, EngineReading.Unreachable)

    override suspend fun order(
        desired: EngineState,
        fencing: Long,
    ): OrderOutcome = answered({ ordered(desired, fencing) }, OrderOutcome.IN_DOUBT)

    private suspend fun reading(): EngineReading {
        val response =
            client
                .get(engine.port, engine.ip, EnginePaths.STATE)
                .timeout(CALL_TIMEOUT.inWholeMilliseconds)
                .send()
                .coAwait()
        val report = json.decodeFromString(EngineReportDocument.serializer(), response.bodyAsString().orEmpty())
        return EngineReading.Known(report.state.toState(), report.changing)
    }

    private suspend fun ordered(
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

    private suspend fun <Answer> answered(
        call: suspend () -> Answer,
        otherwise: Answer,
    ): Answer =
        try {
            call()
        } catch (_: IOException) {
            otherwise
        } catch (_: VertxException) {
            otherwise
        } catch (_: TimeoutException) {
            otherwise
        } catch (_: SerializationException) {
            otherwise
        }

    private companion object {
        val CALL_TIMEOUT: Duration = 2.seconds
        const val ACCEPTED = 202
        const val CONFLICT = 409
    }
}
