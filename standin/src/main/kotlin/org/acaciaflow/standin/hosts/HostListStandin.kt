package org.acaciaflow.standin.hosts

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import org.acaciaflow.protocol.http.HostListDocument
import org.acaciaflow.standin.fault.FaultSwitch
import org.acaciaflow.standin.fault.addFaultRoutes
import org.acaciaflow.state.identity.HostAddress

/** Stands in for the platform's host list; `PUT /hosts` replaces the list after [lagMilliseconds]. */
class HostListStandin(
    private val vertx: Vertx,
    initial: HostListDocument,
    private val lagMilliseconds: Long,
) {
    val faults = FaultSwitch()

    @Volatile
    private var listed = initial

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.addFaultRoutes(faults)
        router.route().handler(BodyHandler.create(false))
        router.get("/hosts").handler { context ->
            when (faults.faults.down) {
                true -> context.response().setStatusCode(UNAVAILABLE).end()
                false -> context.end(Json.encodeToString(HostListDocument.serializer(), listed))
            }
        }
        router.put("/hosts").handler { context ->
            replaceLater(Json.decodeFromString(HostListDocument.serializer(), context.body().asString()))
            context.end("accepted\n")
        }
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.ip)
            .coAwait()
    }

    private fun replaceLater(next: HostListDocument) {
        if (lagMilliseconds == 0L) {
            listed = next
        } else {
            vertx.setTimer(lagMilliseconds) { listed = next }
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
