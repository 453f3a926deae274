package org.acaciaflow.transport.backend

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.AnswerSink
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.BackendCaller
import org.acaciaflow.coordination.port.BackendHealth
import org.acaciaflow.coordination.port.BackendResult
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.protocol.http.AnswerCompleteness
import org.acaciaflow.protocol.http.AnswerIntegrity
import org.acaciaflow.protocol.http.EngineHeaders
import org.acaciaflow.protocol.http.HopByHopHeaders
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField
import org.acaciaflow.transport.direct.VertxHttpCalls
import org.acaciaflow.transport.http.RequestWriting
import org.acaciaflow.transport.http.awaitResult
import org.acaciaflow.transport.http.connect
import org.acaciaflow.transport.http.toBuffer
import org.acaciaflow.transport.http.toFields
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Calls the engine or plain service over HTTP. */
internal class VertxBackendCaller(
    vertx: Vertx,
    private val backend: HostAddress,
    private val probePath: String,
    connections: Int,
) : BackendCaller {
    /**
     * Opens a new connection for each call.
     *
     * Answers carry no identity, so on a reused connection a late copy of an earlier answer would be taken for the
     * answer to the next call. The backend may also close a reused connection while a call is sent.
     */
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
                .setSendBufferSize(RequestWriting.SEND_BUFFER_BYTES)
                .setKeepAlive(false),
            PoolOptions().setHttp1MaxSize(connections),
        )

    private val probes = VertxHttpCalls(vertx, PROBE_ANSWER_BYTES)

    override suspend fun call(
        order: AttemptOrder,
        body: CallBody,
        sink: AnswerSink,
    ): BackendResult {
        val request =
            client.connect(backend, order.call)
                ?: return BackendResult.NotStarted(AttemptRefusal.CONNECTION_REFUSED)
        return try {
            exchange(request, order, body, sink)
        } catch (_: IOException) {
            BackendResult.Broken(MayHaveRun.BACKEND_CRASHED)
        } catch (_: VertxException) {
            BackendResult.Broken(MayHaveRun.BACKEND_CRASHED)
        } finally {
            request.reset()
        }
    }

    override suspend fun probe(): BackendHealth {
        val head = CallHead("GET", probePath, persistentListOf())
        val result = probes.call(backend, head, ByteString(), PROBE_TIMEOUT)
        val answer = (result as? HttpResult.Answered)?.head?.takeIf { it.status == HTTP_OK }
        return if (answer == null) BackendHealth.Unreachable else toHealth(answer.headers)
    }

    private fun toHealth(fields: List<HeaderField>): BackendHealth {
        val role = fields.valueOf(EngineHeaders.ROLE)?.uppercase()
        return BackendHealth.Alive(
            life = fields.valueOf(EngineHeaders.LIFE).orEmpty(),
            role = EngineRole.entries.firstOrNull { it.name == role } ?: EngineRole.MIXED,
            waitingPromptTokens = fields.valueOf(EngineHeaders.WAITING_TOKENS)?.toIntOrNull() ?: 0,
        )
    }

    private fun List<HeaderField>.valueOf(name: String): String? =
        firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    private suspend fun exchange(
        request: HttpClientRequest,
        order: AttemptOrder,
        body: CallBody,
        sink: AnswerSink,
    ): BackendResult =
        coroutineScope {
            val writing = RequestWriting()
            val answer = request.response().map { OpenedAnswer(it, writing) }
            order.call.headers.forEach { request.headers().add(it.name, it.value) }
            EngineHeaders.fieldsFor(order).forEach { request.headers().set(it.name, it.value) }
            val sending = send(request, body, writing)
            val opened = withTimeoutOrNull(IDLE_TIMEOUT) { answer.awaitResult() }
            val result =
                when {
                    opened == null -> timedOut()
                    opened.failed() -> BackendResult.Broken(MayHaveRun.BACKEND_CRASHED)
                    else -> relayAnswer(opened.result(), order, sink)
                }
            sending.cancel()
            result
        }

    private fun CoroutineScope.send(
        request: HttpClientRequest,
        body: CallBody,
        writing: RequestWriting,
    ): Job {
        val start = body.buffered
        if (body.whole) {
            writing.ending(if (start.size > 0) request.end(start.toBuffer()) else request.end())
            return Job()
        }
        if (request.headers()["content-length"] == null) request.isChunked = true
        return launch { sendRest(request, start, body, writing) }
    }

    private suspend fun sendRest(
        request: HttpClientRequest,
        start: ByteString,
        body: CallBody,
        writing: RequestWriting,
    ) {
        request.write(start.toBuffer()).coAwait()
        while (true) {
            when (val part = body.next()) {
                is BodyPart.Data -> request.write(part.bytes.toBuffer()).coAwait()

                BodyPart.End ->
                    return request
                        .end()
                        .also(writing::ending)
                        .coAwait()
                        .let { }

                BodyPart.Broken -> return request.reset().let { }
            }
        }
    }

    private suspend fun relayAnswer(
        opened: OpenedAnswer,
        order: AttemptOrder,
        sink: AnswerSink,
    ): BackendResult {
        val response = opened.response
        val head = AnswerHead(response.statusCode(), HopByHopHeaders.strip(response.headers().toFields()))
        if (!AnswerIntegrity.isAnswer(head, response.statusMessage())) {
            return BackendResult.Broken(MayHaveRun.ANSWER_MALFORMED)
        }
        val completeness = AnswerCompleteness(order.call, head)
        sink.head(head)
        while (true) {
            when (val part = withTimeoutOrNull(IDLE_TIMEOUT) { opened.body.next() }) {
                is BodyPart.Data -> {
                    completeness.update(part.bytes)
                    sink.data(part.bytes)
                }

                BodyPart.End -> {
                    return if (completeness.isComplete) BackendResult.Completed else incomplete()
                }

                BodyPart.Broken -> {
                    return if (opened.isCut) incomplete() else BackendResult.Broken(MayHaveRun.BACKEND_CRASHED)
                }

                null -> {
                    return timedOut()
                }
            }
        }
    }

    private fun incomplete(): BackendResult = BackendResult.Broken(MayHaveRun.ANSWER_INCOMPLETE)

    private fun timedOut(): BackendResult = BackendResult.Broken(MayHaveRun.BACKEND_TIMEOUT)

    /** An answer whose head has arrived, and its body from the first byte on. */
    private class OpenedAnswer(
        val response: HttpClientResponse,
        private val writing: RequestWriting,
    ) {
        val body = writing.bodyOf(response)

        /** True if the body ended before the request was written whole, on which its end depended. */
        val isCut: Boolean
            get() = writing.hasCutAnswer
    }

    private companion object {
        const val HTTP_OK = 200
        const val PROBE_ANSWER_BYTES = 64 * 1024
        val CONNECT_TIMEOUT: Duration = 500.milliseconds
        val PROBE_TIMEOUT: Duration = 500.milliseconds
        val IDLE_TIMEOUT: Duration = 30.seconds
    }
}
