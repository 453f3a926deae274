package org.acaciaflow.transport.rehearsal

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.protocol.dialect.RehearsalScript
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.http.toBuffer
import org.acaciaflow.transport.http.toFields

/** An HTTP server that simulates the backend servers of a rehearsal. */
internal class RehearsalBackend(
    private val vertx: Vertx,
    private val script: RehearsalScript,
) {
    suspend fun start(ip: String): HttpServer =
        vertx
            .createHttpServer()
            .requestHandler { request -> request.endHandler { answer(request) } }
            .listen(0, ip)
            .coAwait()

    private fun answer(request: HttpServerRequest) {
        val answer = script.answerTo(CallHead(request.method().name(), request.uri(), request.headers().toFields()))
        val response = request.response().setStatusCode(answer.head.status).setChunked(true)
        answer.head.headers.forEach { response.headers().add(it.name, it.value) }
        answer.parts.forEach { response.write(it.toBuffer()) }
        response.end()
    }
}
