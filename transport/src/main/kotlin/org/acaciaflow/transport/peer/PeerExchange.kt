package org.acaciaflow.transport.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.delay
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.readByteArray
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.peer.LoadExchange
import org.acaciaflow.coordination.peer.PeerGossip
import org.acaciaflow.coordination.peer.ReportTiming
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.peer.DecodedDatagram
import org.acaciaflow.protocol.peer.PeerCodec
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.LoadShare
import org.acaciaflow.state.peer.PeerDatagram
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.table.SharedTable
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges UDP datagrams with other gateways: periodic reports with all of them, loads with a few.
 *
 * Each message supersedes the previous one, so lost datagrams are not retransmitted and a silent peer needs no retries.
 */
internal class PeerExchange(
    private val self: HostAddress,
    private val seeds: List<HostAddress>,
    private val selector: SelectorManager,
    private val gossip: PeerGossip,
    private val loads: LoadExchange,
    private val peers: SharedTable<Peers>,
    private val observations: Observations,
    private val supervisor: LoopSupervisor,
    private val clock: Clock,
) {
    /** Whether the reports announce that this gateway is stopping. */
    @Volatile
    var stopping = false

    /** Binds the port and starts to send and receive reports. */
    suspend fun start() {
        val socket = aSocket(selector).udp().bind(InetSocketAddress(self.ip, self.port))
        supervisor.startLoop("peer-receiver") { receive(socket) }
        supervisor.startLoop("peer-reports") { sendReports(socket) }
        supervisor.startLoop("peer-loads") { sendLoads(socket) }
    }

    private suspend fun sendLoads(socket: BoundDatagramSocket) {
        while (true) {
            val messages = loads.messages(stopping, clock.now())
            val encoded = HashMap<LoadShare, ByteArray>()
            for ((receiver, share) in messages) {
                sendTo(socket, receiver, encoded.getOrPut(share) { PeerCodec.encode(share) })
            }
            delay(maxOf(MINIMUM_LOAD_INTERVAL, LOAD_INTERVAL_PER_MESSAGE * messages.size))
        }
    }

    private suspend fun sendReports(socket: BoundDatagramSocket) {
        while (true) {
            val others = peers.snapshot().known + seeds
            delay(ReportTiming.interval(others.size))
            gossip.removeSilentPeers(clock.now())
            val bytes = PeerCodec.encode(gossip.report(stopping, clock.now()))
            others.forEach { sendTo(socket, it, bytes) }
        }
    }

    private suspend fun sendTo(
        socket: BoundDatagramSocket,
        peer: HostAddress,
        bytes: ByteArray,
    ) {
        try {
            val packet = Buffer().apply { write(bytes) }
            socket.send(Datagram(packet, InetSocketAddress(peer.ip, peer.port)))
        } catch (failure: IOException) {
            observations.event(Event.PeerUnreachable(peer, failure.message.orEmpty()))
        } catch (_: UnresolvedAddressException) {
            observations.event(Event.PeerUnreachable(peer, "the address cannot be resolved"))
        }
    }

    private suspend fun receive(socket: BoundDatagramSocket) {
        while (true) {
            val datagram = socket.receive()
            when (val decoded = PeerCodec.decode(datagram.packet.readByteArray())) {
                is DecodedDatagram.Valid -> apply(decoded.datagram)
                is DecodedDatagram.Faulty -> observations.event(Event.FrameRejected(self, decoded.fault))
            }
        }
    }

    private fun apply(datagram: PeerDatagram) =
        when (datagram) {
            is PeerReport -> gossip.receive(datagram, clock.now())
            is LoadShare -> loads.receive(datagram, clock.now())
        }

    private companion object {
        val MINIMUM_LOAD_INTERVAL: Duration = 90.milliseconds // shorter than most prefills
        val LOAD_INTERVAL_PER_MESSAGE: Duration = 8.milliseconds // bounds the messages sent per second
    }
}
