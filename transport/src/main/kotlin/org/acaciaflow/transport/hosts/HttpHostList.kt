package org.acaciaflow.transport.hosts

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.SerializationException
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.HostList
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.http.decodeHostList
import org.acaciaflow.state.identity.HostAddress
import java.io.IOException
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the platform's list of hosts over HTTP. */
internal class HttpHostList(
    vertx: Vertx,
    private val address: HostAddress,
    private val observations: Observations,
) : HostList {
    /** Opens a connection for each call: nothing in an answer tells it from a late copy of an earlier one. */
    private val client = WebClient.create(vertx, WebClientOptions().setKeepAlive(false))

    /** The number of hosts that the last list had and that could not be decoded. */
    @Volatile
    private var unreadable = 0

    override suspend fun read(): PersistentList<ListedHost>? =
        try {
            val response =
                client
                    .get(address.port, address.ip, PATH)
                    .timeout(CALL_TIMEOUT.inWholeMilliseconds)
                    .send()
                    .coAwait()
            if (response.statusCode() == HTTP_OK) decode(response.bodyAsString().orEmpty()) else null
        } catch (_: SerializationException) {
            null
        } catch (_: VertxException) {
            null
        } catch (_: IOException) {
            null
        } catch (_: TimeoutException) {
            null
        }

    private fun decode(text: String): PersistentList<ListedHost> {
        val list = decodeHostList(text)
        if (list.unreadable != unreadable) observations.event(Event.HostsUnreadable(list.unreadable))
        unreadable = list.unreadable
        return list.hosts
    }

    private companion object {
        const val HTTP_OK = 200
        const val PATH = "/hosts"
        val CALL_TIMEOUT: Duration = 2.seconds
    }
}
