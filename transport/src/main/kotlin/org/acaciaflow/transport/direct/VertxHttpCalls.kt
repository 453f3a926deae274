package org.acaciaflow.transport.direct

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.protocol.dialect.HttpCalls
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.http.toBuffer
import org.acaciaflow.transport.http.toByteString
import org.acaciaflow.transport.http.toFields
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Makes short HTTP calls over keep-alive connections; a call that times out closes its connection. */
internal class VertxHttpCalls(
    vertx: Vertx,
) : HttpCalls {
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds.toInt()),
            PoolOptions().setHttp1MaxSize(CONNECTIONS),
        )

    override suspend fun call(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
        timeout: Duration,
    ): HttpResult = withTimeoutOrNull(timeout) { attempt(address, head, body) } ?: HttpResult.TimedOut

    private suspend fun attempt(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
    ): HttpResult {
        val request =
            try {
                client.request(optionsFor(address, head)).coAwait()
            } catch (_: IOException) {
                return HttpResult.Unreachable
            } catch (_: VertxException) {
                return HttpResult.Unreachable
            }
        return exchange(request, head, body)
    }

    private suspend fun exchange(
        request: HttpClientRequest,
        head: CallHead,
        body: ByteString,
    ): HttpResult {
        var completed = false
        try {
            head.headers.forEach { request.headers().add(it.name, it.value) }
            val response = request.send(body.toBuffer()).coAwait()
            val content = response.body().coAwait()
            completed = true
            val answerHead = AnswerHead(response.statusCode(), response.headers().toFields())
            return HttpResult.Answered(answerHead, content.toByteString())
        } catch (_: IOException) {
            return HttpResult.ConnectionLost
        } catch (_: VertxException) {
            return HttpResult.ConnectionLost
        } finally {
            if (!completed) request.reset()
        }
    }

    private fun optionsFor(
        address: HostAddress,
        head: CallHead,
    ): RequestOptions =
        RequestOptions()
            .setMethod(HttpMethod.valueOf(head.method))
            .setHost(address.ip)
            .setPort(address.port)
            .setURI(head.target)

    private companion object {
        const val CONNECTIONS = 4
        val CONNECT_TIMEOUT: Duration = 500.milliseconds
    }
}
