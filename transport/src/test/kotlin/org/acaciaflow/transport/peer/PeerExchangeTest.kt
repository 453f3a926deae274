package org.acaciaflow.transport.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.ktor.network.selector.SelectorManager
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.Dispatchers
import org.acaciaflow.coordination.peer.GatewayIdentity
import org.acaciaflow.coordination.peer.LoadExchange
import org.acaciaflow.coordination.peer.PeerGossip
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.protocol.peer.DecodedDatagram
import org.acaciaflow.protocol.peer.PeerCodec
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.transport.observation.MeteredObservations
import org.acaciaflow.transport.worker.createWorkerPool
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketTimeoutException
import kotlin.time.Clock

class PeerExchangeTest : AnnotationSpec() {
    private val registry = SimpleMeterRegistry()
    private val observations = MeteredObservations(registry)
    private val pool = createWorkerPool(threads = 2, observations, Clock.System)
    private val selector = SelectorManager(Dispatchers.IO)
    private val tables = createRelayTables()
    private val self = GatewayIdentity(freeAddress(), startedAtMilliseconds = 1, DataCentre("north"), capacity = 1.0)

    @AfterAll
    fun close() {
        pool.close()
        selector.close()
    }

    /** Guards against a registered address that cannot be resolved and keeps the reports from all peers after it. */
    @Test
    suspend fun `a peer receives reports although other peers have addresses that cannot be resolved`() {
        val peer = DatagramSocket(0, LOOPBACK).apply { soTimeout = 200 }
        val faulty = (1..4).map { HostAddress("no address $it", 7000) }
        tables.peers.update { it.copy(registered = it.registered.addAll(faulty)) }
        val loads = LoadExchange(self, tables)

        PeerExchange(
            self.address,
            seeds = listOf(HostAddress("127.0.0.1", peer.localPort)),
            selector,
            PeerGossip(self, tables, loads, observations),
            loads,
            tables.peers,
            observations,
            pool,
            Clock.System,
        ).start()
        val received = (1..20).count { receive(peer) is DecodedDatagram.Valid }

        received shouldNotBe 0
        registry.counter("acaciaflow.events", "kind", "loop_failed").count() shouldBe 0.0
        peer.close()
    }

    private fun receive(socket: DatagramSocket): DecodedDatagram? =
        try {
            val packet = DatagramPacket(ByteArray(65_536), 65_536)
            socket.receive(packet)
            PeerCodec.decode(packet.data.copyOf(packet.length))
        } catch (_: SocketTimeoutException) {
            null
        }

    private fun freeAddress(): HostAddress = DatagramSocket(0, LOOPBACK).use { HostAddress("127.0.0.1", it.localPort) }

    private companion object {
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
