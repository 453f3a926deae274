package org.acaciaflow.standin

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import org.acaciaflow.protocol.http.HostDocument
import org.acaciaflow.protocol.http.HostListDocument
import org.acaciaflow.standin.engine.EngineProfile
import org.acaciaflow.standin.engine.EngineStandin
import org.acaciaflow.standin.hosts.HostListStandin
import org.acaciaflow.standin.service.ServiceStandin
import org.acaciaflow.standin.store.StoreStandin
import org.acaciaflow.standin.weights.WeightStoreStandin
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress
import java.util.concurrent.CountDownLatch
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** `standins`: runs any number of stand-ins in one process until it receives SIGTERM. */
internal class StandinsCommand : CoreCliktCommand(name = "standins") {
    private val store by option("--store", help = "ip:port of the key-value service").convert { address(it) }
    private val weights by option("--weights", help = "ip:port of the weight store").convert { address(it) }
    private val hostList by option("--host-list", help = "ip:port of the list of hosts").convert { address(it) }
    private val hosts by option("--host", help = "ip:port=data-centre of a listed sidecar").multiple()
    private val hostLag by option("--host-lag-ms").long().default(0)
    private val engines by option("--engine", help = "name=ip:port of a model engine").multiple()
    private val services by option("--service", help = "name=ip:port of a plain service").multiple()
    private val unfenced by option("--no-fencing", help = "engines accept outdated fencing numbers").flag()
    private val speed by option("--speed", help = "how many times faster the engines run").double().default(1.0)
    private val roleChangeMilliseconds by option("--role-change-ms").long().default(DEFAULT_ROLE_CHANGE)

    override fun run() {
        val vertx = Vertx.vertx()
        runBlocking { startAll(vertx) }
        CountDownLatch(1).await()
    }

    private suspend fun startAll(vertx: Vertx) {
        store?.let { StoreStandin(vertx, Clock.System).start(it) }
        hostList?.let { HostListStandin(vertx, hostDocument(), hostLag).start(it) }
        weights?.let { WeightStoreStandin(vertx, Clock.System, MODELS, SECONDS_BETWEEN_LOADS).start(it) }
        val profile = EngineProfile(speed = speed, roleChange = roleChangeMilliseconds.milliseconds)
        engines.forEach { EngineStandin(vertx, nameOf(it), profile, !unfenced).start(address(valueOf(it))) }
        services.forEach { ServiceStandin(vertx, nameOf(it)).start(address(valueOf(it))) }
    }

    private fun hostDocument(): HostListDocument =
        HostListDocument(hosts.map { HostDocument(sidecar = nameOf(it), dataCentre = valueOf(it)) })

    private fun nameOf(text: String): String = text.substringBefore('=')

    private fun valueOf(text: String): String = text.substringAfter('=')

    private fun address(text: String): HostAddress = parseHostAddress(text) ?: error("expected ip:port, got: $text")

    private companion object {
        const val DEFAULT_ROLE_CHANGE = 3000L
        const val SECONDS_BETWEEN_LOADS = 5L
        val MODELS = setOf("base", "loom", "pond")
    }
}
