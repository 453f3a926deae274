package org.acaciaflow.transport.peer

import io.kotest.core.spec.style.AnnotationSpec
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
import kotlinx.coroutines.withTimeout
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
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.transport.observation.MeteredObservations
import java.net.InetAddress
import java.net.ServerSocket
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
}
