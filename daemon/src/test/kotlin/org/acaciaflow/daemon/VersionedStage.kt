package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.daemon.soak.SoakGateway
import java.util.concurrent.Executors
import java.util.concurrent.Future

/** Gateways in processes of their own, each with a link of its own to one store, and servers of software versions. */
internal class VersionedStage(
    gatewayCount: Int,
    configuration: String,
    private val pauseMilliseconds: Long,
) : AutoCloseable {
    private val store = StoreServer(takesWrites = true)
    private var servers: PersistentList<VersionedServer> = persistentListOf()
    private val threads = Executors.newCachedThreadPool { Thread(it, "clients").apply { isDaemon = true } }
    val links = List(gatewayCount) { StoreLink(store.port) }
    val gateways: List<SoakGateway>

    init {
        store.put("op/config", configuration)
        gateways = gatewayPlaces(gatewayCount, RETRY_SLACK).zip(links) { place, link -> SoakGateway(link.port, place) }
    }

    fun awaitReady() = gateways.forEach { it.awaitReady() }

    /** Starts servers of [version], of which the first [breakingOff] break off each stream that they begin. */
    @Synchronized
    fun start(
        version: String,
        breakingOff: Int = 0,
    ): List<VersionedServer> =
        List(SERVERS) { VersionedServer("i-$version-$it", version, pauseMilliseconds, it < breakingOff) }
            .also { servers = servers.addAll(it) }

    fun register(started: List<VersionedServer>) = started.forEach { store.put("servers/${it.instance}", it.entry) }

    fun remove(left: List<VersionedServer>) = left.forEach { store.remove("servers/${it.instance}") }

    /** Begins all streams, each at the gateway that [gatewayOf] says, one shortly after the other. */
    fun begin(gatewayOf: (Int) -> Int): List<Future<ClientStream>> =
        (1..STREAMS).map { number ->
            Thread.sleep(BETWEEN_MILLISECONDS)
            threads.submit<ClientStream> {
                val attempt = callStream(gateways[gatewayOf(number)].address, "s$number")
                ClientStream("s$number", number, listOf(attempt.status), attempt.events)
            }
        }

    /** Takes up those of [streams] that broke off, each at the gateway that [gatewayOf] says, and returns these. */
    fun takeUp(
        streams: List<ClientStream>,
        gatewayOf: (Int) -> Int,
    ): List<ClientStream> {
        val broken = streams.filter { it.events.isNotEmpty() && it.events.size < VersionedServer.EVENTS }
        withClue("streams that broke off") { broken.size shouldBeGreaterThanOrEqual streams.size / 4 }
        val takenUp = broken.map { threads.submit<ClientStream> { takenUp(it, gatewayOf(it.number)) } }
        return takenUp.map { it.get() }
    }

    private fun takenUp(
        stream: ClientStream,
        gateway: Int,
    ): ClientStream {
        val last = stream.events.last().number
        val attempt = callStream(gateways[gateway].address, "t${stream.number}", stream.id, last)
        return stream.copy(
            statuses = stream.statuses + attempt.status,
            events = stream.events + attempt.events,
            wentOn = attempt.events.isNotEmpty(),
        )
    }

    override fun close() {
        links.forEach { it.enter(StoreLinkMode.Open) }
        gateways.forEach { it.close() }
        synchronized(this) { servers.forEach { it.close() } }
        links.forEach { it.close() }
        store.close()
    }

    companion object {
        const val STREAMS = 32
        private const val BETWEEN_MILLISECONDS = 5L
        private const val RETRY_SLACK = 200
        const val SERVERS = 2
        private const val ENGINE =
            ""","engine":{"slots":64,"kv_capacity_tokens":90000,"kv_token_bytes":1000.0,"link_mbps":1000.0}"""

        /** A configuration with one route of streams that may be taken up; its servers are engines if [areEngines]. */
        fun configuration(
            areEngines: Boolean,
            timeoutMilliseconds: Long,
            gapAimMilliseconds: Long = 400,
            version: Int = 1,
        ): String =
            """{"version":$version,"routes":[{"name":"draft","host":"streams.example","prefix":"/draft/",""" +
                """"kind":"streaming","timeout_ms":$timeoutMilliseconds,"target_latency_ms":1000,"priority":1,""" +
                """"service":"writer","max_attempts":3,"sticky":$areEngines,"resumable":true,""" +
                """"gap_aim_ms":$gapAimMilliseconds}],"services":[{"name":"writer","health_path":"/healthz",""" +
                """"max_conns":110,"protocol":"h1","tls":false${if (areEngines) ENGINE else ""}}],""" +
                """"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,""" +
                """"idle_timeout_ms":15000}}"""
    }
}
