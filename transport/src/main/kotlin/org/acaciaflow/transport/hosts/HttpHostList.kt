package org.acaciaflow.transport.hosts

import io.vertx.core.Vertx
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.serialization.SerializationException
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.HostList
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.protocol.http.DecodedHostList
import org.acaciaflow.protocol.http.decodeHostList
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.direct.VertxHttpCalls
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the platform's list of hosts over HTTP; an answer of more than `maximumBytes` is no list. */
internal class HttpHostList(
    vertx: Vertx,
    private val address: HostAddress,
    private val observations: Observations,
    maximumBytes: Int = MAXIMUM_BYTES,
) : HostList {
    /** Opens a connection for each call: nothing in an answer tells it from a late copy of an earlier one. */
    private val calls = VertxHttpCalls(vertx, maximumBytes)

    /** The number of hosts that the last list had and that could not be decoded. */
    @Volatile
    private var unreadable = 0

    override suspend fun read(): PersistentList<ListedHost>? =
        when (val result = calls.call(address, HEAD, ByteString(), CALL_TIMEOUT)) {
            is HttpResult.Answered -> {
                if (result.head.status == HTTP_OK) decode(result.body.decodeToString()) else null
            }

            HttpResult.Unreachable,
            HttpResult.TimedOut,
            HttpResult.ConnectionLost,
            HttpResult.AnswerTooLarge,
            HttpResult.OfOtherCall,
            -> {
                null
            }
        }

    private fun decode(text: String): PersistentList<ListedHost>? {
        val list = listIn(text) ?: return null
        if (list.unreadable != unreadable) observations.event(Event.HostsUnreadable(list.unreadable))
        unreadable = list.unreadable
        return list.hosts
    }

    private fun listIn(text: String): DecodedHostList? =
        try {
            decodeHostList(text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val HTTP_OK = 200
        const val MAXIMUM_BYTES = 4 * 1024 * 1024
        val HEAD = CallHead("GET", "/hosts", persistentListOf())
        val CALL_TIMEOUT: Duration = 2.seconds
    }
}
