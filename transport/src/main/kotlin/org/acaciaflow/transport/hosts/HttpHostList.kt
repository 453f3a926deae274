package org.acaciaflow.transport.hosts

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.port.HostList
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.protocol.http.HostListDocument
import org.acaciaflow.protocol.http.toHosts
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.state.identity.HostAddress
import java.io.IOException
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the platform's list of hosts over HTTP. */
internal class HttpHostList(
    vertx: Vertx,
    private val address: HostAddress,
) : HostList {
    private val client = WebClient.create(vertx)
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun read(): PersistentList<ListedHost>? =
        try {
            val response =
                client
                    .get(address.port, address.ip, PATH)
                    .timeout(CALL_TIMEOUT.inWholeMilliseconds)
                    .send()
                    .coAwait()
            json
                .decodeForeign(HostListDocument.serializer(), response.bodyAsString().orEmpty())
                .toHosts()
                .toPersistentList()
        } catch (_: SerializationException) {
            null
        } catch (_: VertxException) {
            null
        } catch (_: IOException) {
            null
        } catch (_: TimeoutException) {
            null
        }

    private companion object {
        const val PATH = "/hosts"
        val CALL_TIMEOUT: Duration = 2.seconds
    }
}
