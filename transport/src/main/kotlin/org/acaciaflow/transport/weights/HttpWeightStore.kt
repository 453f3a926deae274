package org.acaciaflow.transport.weights

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.coordination.port.WeightLoad
import org.acaciaflow.coordination.port.WeightStore
import org.acaciaflow.state.identity.HostAddress
import java.io.IOException
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Requests loads from the platform's weight store with `HEAD /weights/MODEL/VERSION`.
 *
 * Above its rate limit, the store responds with status 429 and `Retry-After` in seconds.
 */
class HttpWeightStore(
    vertx: Vertx,
    private val address: HostAddress,
) : WeightStore {
    /** Opens a connection for each call: nothing in an answer tells it from a late copy of an earlier one. */
    private val client = WebClient.create(vertx, WebClientOptions().setKeepAlive(false))

    override suspend fun requestLoad(
        model: String,
        version: String,
    ): WeightLoad =
        try {
            val response =
                client
                    .head(address.port, address.ip, "/weights/$model/$version")
                    .timeout(CALL_TIMEOUT.inWholeMilliseconds)
                    .send()
                    .coAwait()
            loadOf(response)
        } catch (_: IOException) {
            WeightLoad.Unreachable
        } catch (_: VertxException) {
            WeightLoad.Unreachable
        } catch (_: TimeoutException) {
            WeightLoad.Unreachable
        }

    private fun loadOf(response: HttpResponse<Buffer>): WeightLoad =
        when (response.statusCode()) {
            OK -> WeightLoad.Granted(response.getHeader("Content-Length")?.toLongOrNull() ?: 0)
            NOT_FOUND -> WeightLoad.UnknownModel
            TOO_MANY_REQUESTS -> WeightLoad.Limited((response.getHeader("Retry-After")?.toLongOrNull() ?: 1).seconds)
            else -> WeightLoad.Unreachable
        }

    private companion object {
        val CALL_TIMEOUT: Duration = 2.seconds
        const val OK = 200
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
    }
}
