package org.acaciaflow.transport.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.awaitClosed
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.peer.ConfigurationFetchPolicy
import org.acaciaflow.coordination.peer.ConfigurationFetches
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Serves this gateway's configuration to its peers, and fetches a newer one that the store hasn't delivered.
 *
 * A peer that connects receives the document, prefixed with its length in bytes as a 32-bit integer.
 */
internal class ConfigurationExchange(
    private val self: HostAddress,
    private val selector: SelectorManager,
    private val routing: SharedTable<KnownRouting>,
    private val updater: RoutingUpdater,
    private val peers: SharedTable<Peers>,
    private val observations: Observations,
    private val supervisor: LoopSupervisor,
    private val scope: CoroutineScope,
    private val clock: Clock,
) {
    private var fetches = ConfigurationFetches.NONE

    /** Binds the port, then starts to serve peers and to check their versions. */
    suspend fun start() {
        val server = aSocket(selector).tcp().bind(InetSocketAddress(self.ip, self.port))
        supervisor.startLoop("configuration-serving") { serve(server) }
        supervisor.startLoop("peer-configuration-poll") { pollPeers() }
    }

    private suspend fun serve(server: ServerSocket) {
        val transfers = Semaphore(MAXIMUM_TRANSFERS)
        while (true) {
            transfers.acquire()
            val socket = server.accept()
            scope.launch {
                try {
                    sendConfiguration(socket)
                } finally {
                    transfers.release()
                }
            }
        }
    }

    private suspend fun sendConfiguration(socket: Socket) {
        try {
            val document = routing.snapshot().document
            val sent = withTimeoutOrNull(TRANSFER_TIMEOUT) { send(document, socket) }
            if (sent == null) observations.event(Event.PeerUnreachable(self, "a peer did not read the configuration"))
        } catch (failure: IOException) {
            observations.event(Event.PeerUnreachable(self, failure.message.orEmpty()))
        } finally {
            // close() alone waits until the peer has read everything.
            socket.socketContext.cancel()
            socket.close()
        }
    }

    private suspend fun send(
        document: ByteString,
        socket: Socket,
    ) {
        val output = socket.openWriteChannel()
        output.writeInt(document.size)
        for (start in 0 until document.size step CHUNK_BYTES) {
            output.writeByteArray(document.toByteArray(start, minOf(start + CHUNK_BYTES, document.size)))
            output.flush()
        }
        output.flushAndClose()
        socket.close()
        socket.awaitClosed()
    }

    private suspend fun pollPeers() {
        while (true) {
            delay(CHECK_INTERVAL)
            if (nextPeer() == null) continue
            // The store usually delivers the new version within this time.
            delay(STORE_GRACE_PERIOD)
            fetchNewer()
        }
    }

    /** Asks one peer after the other until one delivers a newer configuration or none is left to ask. */
    private suspend fun fetchNewer() {
        while (true) {
            val peer = nextPeer()?.address ?: return
            val formerVersion = ownVersion()
            adoptFrom(peer)
            if (ownVersion() > formerVersion) {
                fetches = ConfigurationFetchPolicy.succeeded(fetches, peer)
                return
            }
            fetches = ConfigurationFetchPolicy.failed(fetches, peer, clock.now())
        }
    }

    private fun nextPeer(): Peer? {
        val live = peers.snapshot().live
        fetches = ConfigurationFetchPolicy.retained(fetches, live.keys)
        return ConfigurationFetchPolicy.nextPeer(fetches, live.values, ownVersion(), clock.now())
    }

    private fun ownVersion(): Long = routing.snapshot().configuration.version

    private suspend fun adoptFrom(peer: HostAddress) {
        val document = withTimeoutOrNull(TRANSFER_TIMEOUT) { fetch(peer) }
        if (document == null) {
            observations.event(Event.PeerUnreachable(peer, "no configuration received"))
        } else {
            updater.offer(document, ConfigurationOrigin.PEER)
        }
    }

    private suspend fun fetch(peer: HostAddress): ByteString? =
        try {
            aSocket(selector).tcp().connect(InetSocketAddress(peer.ip, peer.port)).use { socket ->
                val input = socket.openReadChannel()
                val length = input.readInt()
                if (length in 1..MAXIMUM_DOCUMENT_BYTES) ByteString(input.readByteArray(length)) else null
            }
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val MAXIMUM_TRANSFERS = 32 // each holds up to a megabyte that the peer has not read
        const val CHUNK_BYTES = 64 * 1024
        const val MAXIMUM_DOCUMENT_BYTES = 8 * 1024 * 1024
        val CHECK_INTERVAL: Duration = 200.milliseconds
        val STORE_GRACE_PERIOD: Duration = 300.milliseconds
        val TRANSFER_TIMEOUT: Duration = 1.seconds
    }
}
