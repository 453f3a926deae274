package org.acaciaflow.transport.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.DocumentFault
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StoredKeyKind
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.coordination.routing.RoutingUpdater
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.transport.observation.MeteredObservations
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationExchangeTest : AnnotationSpec() {
    private val observations = MeteredObservations(PrometheusMeterRegistry(PrometheusConfig.DEFAULT))

    @Test
    fun `a gateway without the store fetches a newer configuration from a peer`() =
        runBlocking {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val selector = SelectorManager(Dispatchers.IO)
            val newerPeer = freeAddress()
            val olderTables = createRelayTables()
            val newerTables = createRelayTables()
            RoutingUpdater(VersionDocuments, newerTables.routing, observations)
                .offer("9".encodeToByteString(), ConfigurationOrigin.STORE)
            exchange(newerPeer, newerTables, selector, scope).start()
            exchange(freeAddress(), olderTables, selector, scope).start()

            olderTables.peers.update { it.copy(live = it.live.put(newerPeer, peerAt(newerPeer, version = 9))) }

            withTimeout(10.seconds) {
                while (!olderTables.routing
                        .snapshot()
                        .configuration.known
                ) {
                    delay(20.milliseconds)
                }
            }
            olderTables.routing
                .snapshot()
                .configuration.version shouldBe 9
            scope.cancel()
            selector.close()
        }

    /** Guards against a gateway that asks one peer again and again, which reports a version that it cannot deliver. */
    @Test
    fun `a newer configuration is fetched although other peers report higher versions that they do not deliver`() =
        runBlocking {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val selector = SelectorManager(Dispatchers.IO)
            val newerPeer = freeAddress()
            val olderTables = createRelayTables()
            val newerTables = createRelayTables()
            RoutingUpdater(VersionDocuments, newerTables.routing, observations)
                .offer("9".encodeToByteString(), ConfigurationOrigin.STORE)
            RoutingUpdater(VersionDocuments, olderTables.routing, observations)
                .offer("5".encodeToByteString(), ConfigurationOrigin.STORE)
            exchange(newerPeer, newerTables, selector, scope).start()
            exchange(freeAddress(), olderTables, selector, scope).start()
            val silentPeer = RawPeer(answer = null)
            val faultyPeer = RawPeer("HTTP/1.1 400 Bad Request\r\n\r\n".encodeToByteArray())
            val olderPeer = RawPeer(byteArrayOf(0, 0, 0, 1, '4'.code.toByte()))
            val faulty = listOf(freeAddress(), silentPeer.address, faultyPeer.address, olderPeer.address)

            val reports =
                faulty.mapIndexed { index, address -> peerAt(address, version = 1_000L + index) } +
                    peerAt(newerPeer, version = 9)
            olderTables.peers.update { it.copy(live = it.live.putAll(reports.associateBy(Peer::address))) }

            withTimeoutOrNull(10.seconds) { while (versionOf(olderTables) != 9L) delay(20.milliseconds) }
            versionOf(olderTables) shouldBe 9
            scope.cancel()
            selector.close()
            listOf(silentPeer, faultyPeer, olderPeer).forEach { it.close() }
        }

    /** Guards against fetches from a silent peer that leave their connections open. */
    @Test
    fun `a fetch that times out closes its connection`() =
        runBlocking {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val selector = SelectorManager(Dispatchers.IO)
            val tables = createRelayTables()
            val silentPeer = RawPeer(answer = null)
            exchange(freeAddress(), tables, selector, scope).start()

            val report = peerAt(silentPeer.address, version = 1_000)
            tables.peers.update { it.copy(live = it.live.put(report.address, report)) }
            val closed =
                withTimeoutOrNull(10.seconds) {
                    while (silentPeer.firstConnection == null) delay(20.milliseconds)
                    withContext(Dispatchers.IO) { silentPeer.firstConnection?.getInputStream()?.read() }
                }

            closed shouldBe -1
            scope.cancel()
            selector.close()
            silentPeer.close()
        }

    /** Guards against peers that connect and read nothing, and hold a copy of the document and a connection each. */
    @Test
    fun `connections that read nothing are closed and hold little memory`() =
        runBlocking {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val selector = SelectorManager(Dispatchers.IO)
            val address = freeAddress()
            val tables = createRelayTables()
            val document = "9".padStart(LARGE_DOCUMENT_BYTES, '0')
            RoutingUpdater(VersionDocuments, tables.routing, observations)
                .offer(document.encodeToByteString(), ConfigurationOrigin.STORE)
            exchange(address, tables, selector, scope).start()
            val memoryBefore = usedMemory()

            val readers = List(40) { connectSlowly(address) }
            delay(500.milliseconds)
            val memoryHeld = usedMemory() - memoryBefore
            delay(3.seconds)
            val wholeDocuments = readers.count { bytesUntilEnd(it) >= LARGE_DOCUMENT_BYTES }

            wholeDocuments shouldBe 0
            memoryHeld shouldBeLessThan 60L * 1024 * 1024
            withContext(Dispatchers.IO) { bytesUntilEnd(connectSlowly(address)) } shouldBe LARGE_DOCUMENT_BYTES + 4
            scope.cancel()
            selector.close()
        }

    private fun usedMemory(): Long {
        System.gc()
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private fun connectSlowly(address: HostAddress): Socket =
        Socket().apply {
            receiveBufferSize = 4096
            connect(InetSocketAddress(address.ip, address.port))
        }

    private fun bytesUntilEnd(socket: Socket): Int =
        socket.use {
            it.soTimeout = 3_000
            val buffer = ByteArray(65_536)
            var total = 0
            try {
                while (true) {
                    val count = it.getInputStream().read(buffer)
                    if (count < 0) break
                    total += count
                }
            } catch (_: IOException) {
                // The peer has reset the connection.
            }
            total
        }

    private fun versionOf(tables: RelayTables): Long =
        tables.routing
            .snapshot()
            .configuration.version

    private fun exchange(
        self: HostAddress,
        tables: RelayTables,
        selector: SelectorManager,
        scope: CoroutineScope,
    ): ConfigurationExchange {
        val updater = RoutingUpdater(VersionDocuments, tables.routing, observations)
        val supervisor =
            object : LoopSupervisor {
                override fun startLoop(
                    name: String,
                    loop: suspend () -> Unit,
                ) {
                    scope.launch { loop() }
                }
            }
        return ConfigurationExchange(
            self,
            selector,
            tables.routing,
            updater,
            tables.peers,
            observations,
            supervisor,
            scope,
            Clock.System,
        )
    }

    private fun peerAt(
        address: HostAddress,
        version: Long,
    ) = Peer(
        address,
        startedAtMilliseconds = 1,
        lastSequence = 1,
        lastReportAt = Clock.System.now(),
        configurationVersion = version,
        dataCentre = DataCentre("north"),
        capacity = 1.0,
        stopping = false,
    )

    private fun freeAddress(): HostAddress =
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { HostAddress("127.0.0.1", it.localPort) }

    private companion object {
        const val LARGE_DOCUMENT_BYTES = 7 * 1024 * 1024
    }
}

/** A peer that writes [answer] to each connection, or nothing, and keeps the connection open. */
private class RawPeer(
    answer: ByteArray?,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val connections = ConcurrentLinkedQueue<Socket>()

    val address = HostAddress("127.0.0.1", server.localPort)

    val firstConnection: Socket?
        get() = connections.peek()?.apply { soTimeout = 5_000 }

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().also(connections::add).apply { answer?.let(getOutputStream()::write) }
            } catch (_: IOException) {
                // The test has closed the server.
            }
        }
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
    }
}

/** Decodes documents that consist only of a version number. */
private object VersionDocuments : StoredDocuments {
    override fun kindOf(key: StoreKey): StoredKeyKind = StoredKeyKind.Other

    override fun readEntry(
        instance: String,
        document: ByteString,
    ): Decoded<BackendEntry> = Decoded.Invalid(DocumentFault("none"))

    override fun readConfiguration(document: ByteString): Decoded<RoutingConfiguration> =
        Decoded.Valid(RoutingConfiguration.NONE.copy(version = document.decodeToString().toLong()))

    override fun readBase(document: ByteString): Decoded<PoolBase> =
        Decoded.Valid(PoolBase(SoftwareVersion(document.decodeToString()), StoreEra.Unknown))

    override fun readHostBase(document: ByteString): Decoded<HostBase> =
        Decoded.Valid(HostBase(routes = null, StoreEra.Unknown))
}
