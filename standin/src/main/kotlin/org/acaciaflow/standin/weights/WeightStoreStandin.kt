package org.acaciaflow.standin.weights

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.standin.fault.FaultSwitch
import org.acaciaflow.standin.fault.addFaultRoutes
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Stands in for the weight store: serves [models] and allows one load every [secondsBetweenLoads]. */
class WeightStoreStandin(
    private val vertx: Vertx,
    private val clock: Clock,
    private val models: Set<String>,
    private val secondsBetweenLoads: Long,
) {
    val faults = FaultSwitch()
    private var nextLoad: Instant = Instant.DISTANT_PAST

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.addFaultRoutes(faults)
        router.head("/weights/:model/:version").handler(::load)
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.ip)
            .coAwait()
    }

    private fun load(context: RoutingContext) {
        val response = context.response()
        val now = clock.now()
        when {
            faults.faults.down -> response.setStatusCode(UNAVAILABLE).end()

            context.pathParam("model") !in models -> response.setStatusCode(NOT_FOUND).end()

            now < nextLoad -> {
                val wait = (nextLoad - now).inWholeSeconds + 1
                response.setStatusCode(TOO_MANY_REQUESTS).putHeader("Retry-After", wait.toString()).end()
            }

            else -> {
                nextLoad = now + secondsBetweenLoads.seconds
                response.putHeader("Content-Length", WEIGHT_BYTES.toString()).end()
            }
        }
    }

    private companion object {
        const val WEIGHT_BYTES = 8_000_000_000L
        const val UNAVAILABLE = 503
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
    }
}
