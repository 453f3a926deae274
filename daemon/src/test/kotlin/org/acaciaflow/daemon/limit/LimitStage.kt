package org.acaciaflow.daemon.limit

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.acaciaflow.daemon.StoreServer
import org.acaciaflow.daemon.gatewayPlaces
import org.acaciaflow.daemon.soak.SoakGateway
import kotlin.random.Random

/** Five gateways, each in a process of its own, before three servers for each of [services]; a path leads to each service. */
internal class LimitStage(
    services: List<String>,
) : AutoCloseable {
    private val start = System.nanoTime()
    private val store = StoreServer()
    private val servers = services.associateWith { service -> List(SERVERS) { server(service, it) }.toImmutableList() }

    /** The gateways, of which each is a machine with its name. */
    val gateways: List<SoakGateway>

    init {
        val places = gatewayPlaces(GATEWAYS, RETRY_SLACK)
        store.put("op/config", limitConfiguration(services, hosts = places.map { it.ip }))
        servers.values.flatten().forEach { store.put("servers/${it.instance}", it.entry) }
        gateways = places.map { SoakGateway(store.port, it) }
    }

    fun awaitReady() = gateways.forEach { it.awaitReady() }

    /** The milliseconds since the start. */
    fun clock(): Long = (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND

    /** The servers of [service]. */
    fun servers(service: String): ImmutableList<LimitingServer> = servers.getValue(service)

    /** Runs [script], which must not fail, on the servers of [service] while callers call it, and returns all calls. */
    fun play(
        service: String,
        returnsWhenTold: Boolean = false,
        choose: (Random) -> Int = { it.nextInt(GATEWAYS) },
        script: (List<LimitingServer>) -> Unit,
    ): ImmutableList<LimitCall> {
        val callers = LimitCallers(gateways, service, ::clock, returnsWhenTold, choose)
        callers.start()
        script(servers.getValue(service))
        return callers.finish()
    }

    override fun close() {
        gateways.forEach { it.close() }
        servers.values.flatten().forEach { it.close() }
        store.close()
    }

    private fun server(
        service: String,
        number: Int,
    ) = LimitingServer("i-$service-$number", service, ::clock)

    companion object {
        const val GATEWAYS = 5
        private const val SERVERS = 3
        private const val RETRY_SLACK = 56
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}

/** A configuration with a route to each of [services] on each of [hosts]; its path is `/` and the service's name. */
private fun limitConfiguration(
    services: List<String>,
    hosts: List<String>,
): String {
    val routes =
        services.flatMap { service ->
            hosts.map { host ->
                """{"name":"$service-$host","host":"$host","prefix":"/$service/","kind":"idempotent",""" +
                    """"timeout_ms":2000,"target_latency_ms":200,"priority":1,""" +
                    """"service":"$service","max_attempts":2,""" +
                    """"sticky":false,"resumable":false,"gap_aim_ms":200}"""
            }
        }
    val definitions =
        services.map { """{"name":"$it","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}""" }
    return """{"version":1,"routes":[${routes.joinToString(",")}],"services":[${definitions.joinToString(",")}],""" +
        """"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,""" +
        """"idle_timeout_ms":15000}}"""
}
