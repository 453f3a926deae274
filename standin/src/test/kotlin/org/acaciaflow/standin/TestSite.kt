package org.acaciaflow.standin

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.acaciaflow.protocol.configuration.PublishOutcome
import org.acaciaflow.protocol.http.HostDocument
import org.acaciaflow.protocol.http.HostListDocument
import org.acaciaflow.protocol.settings.GatewaySettings
import org.acaciaflow.protocol.settings.SidecarSettings
import org.acaciaflow.standin.engine.EngineProfile
import org.acaciaflow.standin.engine.EngineStandin
import org.acaciaflow.standin.hosts.HostListStandin
import org.acaciaflow.standin.service.ServiceStandin
import org.acaciaflow.standin.store.StoreStandin
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.transport.process.Daemon
import org.acaciaflow.transport.process.createGatewayDaemon
import org.acaciaflow.transport.process.createSidecarDaemon
import org.acaciaflow.transport.process.publishConfiguration
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/** A site in one process: stand-ins, a sidecar in front of each backend server, and two gateways. */
internal class TestSite(
    engineProfile: EngineProfile = FAST_ENGINE,
    checksFencing: Boolean = true,
) {
    val vertx: Vertx = Vertx.vertx()
    val store = StoreStandin(vertx, Clock.System)
    val storeAddress = freeAddress()
    val gateways = listOf(freeAddress(), freeAddress())
    val engines = listOf("loom-1", "loom-2").associateWith { EngineStandin(vertx, it, engineProfile, checksFencing) }
    val service = ServiceStandin(vertx, "register-1")
    val serviceAddress = freeAddress()
    private val hostListAddress = freeAddress()
    var linkAddresses: Map<String, HostAddress> = emptyMap()
        private set
    private var sidecars: Map<String, Daemon> = emptyMap()
    private var gatewayDaemons: List<Daemon> = emptyList()

    suspend fun start() {
        store.start(storeAddress)
        linkAddresses = (engines.keys + "register-1").associateWith { freeAddress() }
        val listedHosts = linkAddresses.values.map { HostDocument(it.toString(), CENTRE.name) }
        HostListStandin(vertx, HostListDocument(listedHosts), lagMilliseconds = 0).start(hostListAddress)
        engines.forEach { (name, engine) ->
            val address = freeAddress()
            engine.start(address)
            startSidecar(name, "loom-models", linkAddresses.getValue(name), address)
        }
        service.start(serviceAddress)
        startSidecar("register-1", "register-app", linkAddresses.getValue("register-1"), serviceAddress)
        publish(base = 0)
        gatewayDaemons = gateways.map { createGatewayDaemon(gatewaySettings(it), Clock.System, Random(SEED)) }
        gatewayDaemons.forEach { it.start() }
        awaitServing()
    }

    suspend fun publish(base: Long): PublishOutcome =
        publishConfiguration(storeAddress, Files.readString(Path.of("..", "examples", "two-sites.json")), base)

    /** Starts another gateway, without waiting until it serves, so that it can start while the store is down. */
    suspend fun startGateway(): HostAddress {
        val address = freeAddress()
        val daemon = createGatewayDaemon(gatewaySettings(address), Clock.System, Random(SEED))
        daemon.start()
        gatewayDaemons = gatewayDaemons + daemon
        return address
    }

    suspend fun stopGateway(index: Int) = gatewayDaemons[index].stop()

    suspend fun stopSidecar(name: String) = sidecars.getValue(name).stop()

    suspend fun stop() {
        gatewayDaemons.forEach { runCatching { it.stop() } }
        sidecars.values.forEach { runCatching { it.stop() } }
        vertx.close().coAwait()
    }

    private suspend fun startSidecar(
        name: String,
        pool: String,
        linkAddress: HostAddress,
        backendAddress: HostAddress,
    ) {
        val settings =
            SidecarSettings(
                links = linkAddress,
                operators = freeAddress(),
                dataCentre = CENTRE,
                pool = PoolName(pool),
                store = storeAddress,
                backend = backendAddress,
                probePath = "/health",
                capacity = 16,
                isModelEngine = pool == "loom-models",
            )
        val sidecar = createSidecarDaemon(settings, Clock.System)
        sidecar.start()
        sidecars = sidecars + (name to sidecar)
    }

    private fun gatewaySettings(address: HostAddress): GatewaySettings =
        GatewaySettings(
            callers = address,
            operators = freeAddress(),
            dataCentre = CENTRE,
            store = storeAddress,
            hostList = hostListAddress,
            exchangeWorkers = 64,
            bodyLimitBytes = BODY_LIMIT_BYTES,
        )

    /** Waits until a lookup passes through each gateway, and then for a fixed time. */
    private suspend fun awaitServing() {
        withTimeout(30.seconds) {
            gateways.forEach { gateway ->
                while (!RawHttp.get(gateway, "/register/ready").startsWith("HTTP/1.1 200")) delay(RETRY_MILLISECONDS)
            }
            delay(STABILISATION_MILLISECONDS)
        }
    }

    companion object {
        const val BODY_LIMIT_BYTES = 8L * 1024 * 1024
        val FAST_ENGINE = EngineProfile(speed = 20.0)
        private val CENTRE = DataCentre("suba")
        private const val SEED = 4206
        private const val RETRY_MILLISECONDS = 50L
        private const val STABILISATION_MILLISECONDS = 700L

        fun freeAddress(): HostAddress = FreeAddresses.next()
    }
}
