package org.acaciaflow.transport.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.ktor.network.selector.SelectorManager
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
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
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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

    /** Guards against a datagram that cannot be decoded and ends or delays the receipt of the ones after it. */
    @Test
    suspend fun `a report is heard behind two hundred datagrams that cannot be decoded, which are counted`() {
        val tables = createRelayTables()
        val self = self.copy(address = freeAddress())
        val loads = LoadExchange(self, tables)
        val gossip = PeerGossip(self, tables, loads, observations)
        PeerExchange(self.address, emptyList(), selector, gossip, loads, tables.peers, observations, pool, Clock.System)
            .start()
        val peer = DatagramSocket(0, LOOPBACK)
        val sender = self.copy(address = HostAddress("127.0.0.1", peer.localPort))
        val random = Random(5102)
        val rejectedBefore = count("frame_rejected")

        repeat(200) {
            sendTo(self.address, peer, random.nextBytes(random.nextInt(200)).apply { if (isNotEmpty()) set(0, 9) })
            if (it % 20 == 0) delay(5.milliseconds) // the receiver's buffer would drop some of a burst
        }
        val report = PeerGossip(sender, createRelayTables(), LoadExchange(sender, tables), observations)
        val heard =
            withTimeoutOrNull(3.seconds) {
                while (sender.address !in tables.peers.snapshot().live) {
                    sendTo(self.address, peer, PeerCodec.encode(report.report(stopping = false, Clock.System.now())))
                    delay(20.milliseconds)
                }
                true
            }

        heard shouldBe true
        count("frame_rejected") - rejectedBefore shouldBe 200.0
        peer.close()
    }

    private fun count(kind: String): Double = registry.counter("acaciaflow.events", "kind", kind).count()

    private fun sendTo(
        receiver: HostAddress,
        socket: DatagramSocket,
        bytes: ByteArray,
    ) = socket.send(DatagramPacket(bytes, bytes.size, LOOPBACK, receiver.port))

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
