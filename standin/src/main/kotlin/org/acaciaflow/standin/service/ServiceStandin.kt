package org.acaciaflow.standin.service

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.acaciaflow.standin.engine.EngineStandin
import org.acaciaflow.standin.fault.FaultSwitch
import org.acaciaflow.standin.fault.addFaultRoutes
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.digestOf
import kotlin.random.Random

/** Stands in for a plain service; echoes each call and counts the executions of each claim or release. */
class ServiceStandin(
    private val vertx: Vertx,
    private val name: String,
    private val random: Random = Random(DELAY_SEED),
) {
    val faults = FaultSwitch()
    private var executions: PersistentMap<String, Int> = persistentMapOf()

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.addFaultRoutes(faults)
        router.get("/health").handler { it.end("well\n") }
        router.get("/standin/executions").handler { it.end(Json.encodeToString(executions.toMap())) }
        router.getWithRegex("/.*/download/(?<bytes>[0-9]+)").handler(::download)
        router.route().handler(BodyHandler.create(false))
        router.route().handler(::serve)
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.ip)
            .coAwait()
    }

    private fun serve(context: RoutingContext) {
        val injected = faults.faults
        if (injected.down) {
            return context
                .request()
                .connection()
                .close()
                .let { }
        }
        val delay = injected.delayMilliseconds + random.nextLong(injected.delaySpreadMilliseconds + 1)
        when (delay) {
            0L -> answer(context)
            else -> vertx.setTimer(delay) { answer(context) }
        }
    }

    private fun answer(context: RoutingContext) {
        val request = context.request()
        val body = context.body().buffer()?.bytes ?: ByteArray(0)
        val identity = identityOf(request, body)
        if (identity != null) executions = executions.put(identity, (executions[identity] ?: 0) + 1)
        if (faults.consumeLostAnswer()) return request.connection().close().let { }
        val echo =
            ServiceEcho(
                service = name,
                method = request.method().name(),
                target = request.uri(),
                identity = identity,
                execution = identity?.let { executions[it] },
                bodyBytes = body.size,
                bodyDigest = digestOf("", "", body).hexadecimal,
                headers = request.headers().entries().map { "${it.key}: ${it.value}" },
            )
        send(context, Json.encodeToString(ServiceEcho.serializer(), echo))
    }

    private fun send(
        context: RoutingContext,
        text: String,
    ) {
        val response = context.response().putHeader(EngineStandin.NAME_HEADER, name)
        response.putHeader("Content-Type", "application/json").putHeader("x-odd-CASE", "Kept As Sent")
        response.putHeader("Content-Length", text.encodeToByteArray().size.toString())
        if (context.request().method() == HttpMethod.HEAD) return response.end().let { }
        if (faults.consumeTruncatedAnswer()) {
            response.write(text.take(text.length / 2))
            vertx.setTimer(TRUNCATION_DELAY_MILLISECONDS) { context.request().connection().close() }
        } else {
            response.end(text)
        }
    }

    /** Sends a body of the requested size with back-pressure. */
    private fun download(context: RoutingContext) {
        val size = context.pathParam("bytes").toLong()
        val response = context.response().putHeader("Content-Length", size.toString())
        response.putHeader(EngineStandin.NAME_HEADER, name)
        val source = PatternStream(size)
        source.pipeTo(response)
        source.start()
    }

    private fun identityOf(
        request: HttpServerRequest,
        body: ByteArray,
    ): String? {
        if (request.method().name() != "POST") return null
        return request.getHeader("X-Claim") ?: jsonField(body, "claim") ?: jsonField(body, "release")
    }

    private fun jsonField(
        body: ByteArray,
        field: String,
    ): String? {
        val root = runCatching { Json.parseToJsonElement(body.decodeToString()) as? JsonObject }.getOrNull()
        return (root?.get(field) as? JsonPrimitive)?.content
    }

    private companion object {
        const val TRUNCATION_DELAY_MILLISECONDS = 20L
        const val DELAY_SEED = 4209
    }
}

/** The stand-in service's answer, which describes the call that it received. */
@Serializable
data class ServiceEcho(
    val service: String,
    val method: String,
    val target: String,
    val identity: String?,
    val execution: Int?,
    val bodyBytes: Int,
    val bodyDigest: String,
    val headers: List<String>,
)
