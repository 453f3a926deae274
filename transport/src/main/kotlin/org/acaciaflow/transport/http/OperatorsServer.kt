package org.acaciaflow.transport.http

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.state.identity.HostAddress

/** The readiness and status that the operators' port of a process serves. */
interface OperatorsView {
    /** True while the process accepts new work. */
    val ready: Boolean

    /** Names of the loops that have failed and not started again yet. */
    val failingLoops: List<String>

    /** Further lines of the readiness answer, each without its line break; empty when there is nothing to say. */
    val readinessNotes: List<String>
        get() = emptyList()

    /** The status of the process as a JSON document. */
    fun status(): String
}

/** HTTP server for operators and probes: `/live`, [readinessPath], `/metrics` and `/status`. */
internal class OperatorsServer(
    private val vertx: Vertx,
    private val registry: PrometheusMeterRegistry,
    private val view: OperatorsView,
    private val readinessPath: String = "/ready",
) {
    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.get("/live").handler { it.end("live\n") }
        router.get(readinessPath).handler { answerReady(it) }
        router.get("/metrics").handler { it.end(registry.scrape()) }
        router.get("/status").handler { it.response().putHeader("content-type", "application/json").end(view.status()) }
        return vertx
            .createHttpServer()
            .exceptionHandler { } // a client that resets its connection
            .requestHandler(router)
            .listen(address.port, address.ip)
            .coAwait()
    }

    private fun answerReady(context: RoutingContext) {
        when (view.ready) {
            true -> context.end(readyText())
            false -> context.response().setStatusCode(UNAVAILABLE).end("not ready\n")
        }
    }

    private fun readyText(): String =
        (
            listOf(
                "ready",
            ) + view.failingLoops.map { "restarting: $it" } + view.readinessNotes
        ).joinToString("") { "$it\n" }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
