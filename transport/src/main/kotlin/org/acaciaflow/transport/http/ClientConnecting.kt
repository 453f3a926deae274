package org.acaciaflow.transport.http

import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClosedException
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import kotlinx.coroutines.CancellationException
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.CallHead

/**
 * Waits for a connection to [address] and returns the unsent request; null when the connection failed.
 *
 * A caller that gets a request has to send or reset it. A connection that arrives after a cancellation is closed.
 */
internal suspend fun HttpClient.connect(
    address: HostAddress,
    head: CallHead,
): HttpClientRequest? {
    val options =
        RequestOptions()
            .setMethod(HttpMethod.valueOf(head.method))
            .setHost(address.ip)
            .setPort(address.port)
            .setURI(head.target)
    repeat(MAXIMUM_TRIES) {
        val connecting = request(options)
        val connected =
            try {
                connecting.awaitResult()
            } catch (cancellation: CancellationException) {
                connecting.onSuccess { it.connection().close() } // otherwise the pool would never get it back
                throw cancellation
            }
        if (connected.succeeded()) return connected.result().exceptionHandler { } // the answer fails as well
        if (connected.cause() !is HttpClosedException) return null
    }
    return null
}

/** The pool may return kept connections that their server has just closed; nothing was sent on them. */
private const val MAXIMUM_TRIES = 3
