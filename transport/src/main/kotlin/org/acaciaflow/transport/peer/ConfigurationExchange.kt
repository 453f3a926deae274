package org.acaciaflow.transport.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Gives this gateway's configuration to peers, and takes a newer one from them when the store does not tell it.
 *
 * The answer to a connection is the length of the document as a 32-bit number and the document itself.
 */
internal class ConfigurationExchange(
    private val self: HostAddress,
    private val selector: SelectorManager,
    private val routing: SharedTable<KnownRouting>,
    private val keeper: RoutingUpdater,
    private val peers: SharedTable<Peers>,
    private val observations: Observations,
    private val scope: CoroutineScope,
) {
    /** Binds the port, then serves and follows peers. */
    suspend fun start() {
        val server = aSocket(selector).tcp().bind(InetSocketAddress(self.ip, self.port))
        scope.launch { serve(server) }
        scope.launch { follow() }
    }

    private suspend fun serve(server: ServerSocket) {
        while (true) {
            val socket = server.accept()
            scope.launch { withTimeoutOrNull(TRANSFER_TIMEOUT) { give(socket) } }
        }
    }

    private suspend fun give(socket: Socket) {
        try {
            socket.use {
                val document = routing.snapshot().document
                val output = it.openWriteChannel()
                output.writeInt(document.size)
                output.writeByteArray(document.toByteArray())
                output.flushAndClose()
            }
        } catch (failure: IOException) {
            observations.event(Event.PeerUnreachable(self, failure.message.orEmpty()))
        }
    }

    private suspend fun follow() {
        while (true) {
            delay(CHECK_INTERVAL)
            val ahead = peerAhead() ?: continue
            // The store's own news usually comes first.
            delay(STORE_ADVANTAGE)
            if (ahead.configurationVersion > ownVersion()) take(ahead.address)
        }
    }

    private fun peerAhead(): Peer? =
        peers
            .snapshot()
            .live.values
            .maxByOrNull { it.configurationVersion }
            ?.takeIf { it.configurationVersion > ownVersion() }

    private fun ownVersion(): Long = routing.snapshot().configuration.version

    private suspend fun take(peer: HostAddress) {
        val document = withTimeoutOrNull(TRANSFER_TIMEOUT) { read(peer) }
        if (document == null) {
            observations.event(Event.PeerUnreachable(peer, "no configuration received"))
        } else {
            keeper.offer(document, ConfigurationOrigin.PEER)
        }
    }

    private suspend fun read(peer: HostAddress): ByteString? =
        try {
            aSocket(selector).tcp().connect(InetSocketAddress(peer.ip, peer.port)).use { socket ->
                val input = socket.openReadChannel()
                val length = input.readInt()
                if (length in 1..LARGEST_DOCUMENT) ByteString(input.readByteArray(length)) else null
            }
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val LARGEST_DOCUMENT = 8 * 1024 * 1024
        val CHECK_INTERVAL: Duration = 200.milliseconds
        val STORE_ADVANTAGE: Duration = 300.milliseconds
        val TRANSFER_TIMEOUT: Duration = 1.seconds
    }
}
