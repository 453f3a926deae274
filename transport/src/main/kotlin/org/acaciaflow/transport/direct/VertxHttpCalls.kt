package org.acaciaflow.transport.direct

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.PoolOptions
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.protocol.dialect.HttpCalls
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.protocol.http.AnswerIntegrity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.http.BoundedBody
import org.acaciaflow.transport.http.RequestWriting
import org.acaciaflow.transport.http.awaitResult
import org.acaciaflow.transport.http.connect
import org.acaciaflow.transport.http.readWhole
import org.acaciaflow.transport.http.toBuffer
import org.acaciaflow.transport.http.toFields
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Makes short HTTP calls.
 *
 * With [keepAlive], several calls share a connection, and a late copy of an earlier answer can be taken for the answer
 * to a call. That is for answers that tell themselves which call they answer, and for those that nobody reads; all
 * other calls need a connection each. Bytes that arrive while no call is in progress close a connection.
 *
 * A call that times out, or whose answer has more than [maximumBytes], closes its connection.
 */
internal class VertxHttpCalls(
    vertx: Vertx,
    private val maximumBytes: Int,
    keepAlive: Boolean = false,
) : HttpCalls {
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
                .setKeepAlive(keepAlive),
            PoolOptions().setHttp1MaxSize(CONNECTIONS),
        )

    override suspend fun call(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
        timeout: Duration,
        isAnswer: (HttpResult.Answered) -> Boolean,
    ): HttpResult = withTimeoutOrNull(timeout) { attempt(address, head, body, isAnswer) } ?: HttpResult.TimedOut

    private suspend fun attempt(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
        isAnswer: (HttpResult.Answered) -> Boolean,
    ): HttpResult {
        val request = client.connect(address, head) ?: return HttpResult.Unreachable
        request.connection().exceptionHandler { } // the call fails as well
        val result = exchange(request, head, body)
        if (result !is HttpResult.Answered || isAnswer(result)) return result
        request.connection().close().awaitResult() // so that the next call can't get it from the pool
        return HttpResult.OfOtherCall
    }

    private suspend fun exchange(
        request: HttpClientRequest,
        head: CallHead,
        body: ByteString,
    ): HttpResult {
        var completed = false
        try {
            head.headers.forEach { request.headers().add(it.name, it.value) }
            val writing = RequestWriting()
            val opened = request.response().map { it to writing.bodyOf(it) }
            writing.ending(request.end(body.toBuffer()))
            val opening = opened.awaitResult()
            if (opening.failed()) return HttpResult.ConnectionLost
            val (response, channel) = opening.result()
            val answerHead = AnswerHead(response.statusCode(), response.headers().toFields())
            if (!AnswerIntegrity.isAnswer(answerHead, response.statusMessage())) {
                request.connection().close().awaitResult() // a reset does nothing once the whole answer has arrived
                return HttpResult.ConnectionLost
            }
            return when (val content = channel.readWhole(maximumBytes)) {
                is BoundedBody.Whole -> HttpResult.Answered(answerHead, content.bytes).also { completed = true }
                BoundedBody.TooLarge -> HttpResult.AnswerTooLarge
                BoundedBody.Broken -> HttpResult.ConnectionLost
            }
        } finally {
            if (!completed) request.reset()
        }
    }

    private companion object {
        const val CONNECTIONS = 4
        val CONNECT_TIMEOUT: Duration = 500.milliseconds
    }
}
