package org.acaciaflow.standin.trial

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import org.acaciaflow.standin.engine.EngineStandin
import org.acaciaflow.standin.service.ServiceEcho
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.digestOf

/** Sends calls of the trial and checks their answers. */
internal class TrialClient(
    vertx: Vertx,
) {
    private val client = WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(POOL_SIZE))

    suspend fun send(
        gateway: HostAddress,
        call: TrialCall,
    ): TrialAnswer {
        val request = client.request(HttpMethod.valueOf(call.method), gateway.port, gateway.ip, call.target)
        call.headers.forEach { (name, value) -> request.putHeader(name, value) }
        val body = call.body
        val response = (if (body == null) request.send() else request.sendBuffer(Buffer.buffer(body))).coAwait()
        return TrialAnswer(
            status = response.statusCode(),
            backend = response.getHeader(EngineStandin.NAME_HEADER),
            body = response.bodyAsString().orEmpty(),
            fault = faultOf(call, response),
        )
    }

    /** Describes why the answer is wrong; null when it is right. */
    private fun faultOf(
        call: TrialCall,
        response: HttpResponse<Buffer>,
    ): String? {
        if (response.statusCode() != SUCCESS) return "status ${response.statusCode()}: ${response.bodyAsString()}"
        return when (val expected = call.expectation) {
            is Expectation.ExactBody -> if (response.bodyAsString() == expected.text) null else "unexpected body"
            is Expectation.Echo -> echoFault(call, expected, response.bodyAsString().orEmpty())
        }
    }

    private fun echoFault(
        call: TrialCall,
        expected: Expectation.Echo,
        text: String,
    ): String? {
        val echo = Json.decodeFromString(ServiceEcho.serializer(), text)
        val sent = call.body.orEmpty().encodeToByteArray()
        return when {
            echo.method != call.method -> "the service received method ${echo.method}"
            echo.target != call.target -> "the service received target ${echo.target}"
            echo.bodyDigest != digestOf("", "", sent).hexadecimal -> "the service received another body"
            echo.execution != expected.executions -> "executed ${echo.execution} times"
            else -> null
        }
    }

    private companion object {
        const val POOL_SIZE = 64
        const val SUCCESS = 200
    }
}

/** An answer, the stand-in that sent it and its fault, if any. */
internal data class TrialAnswer(
    val status: Int,
    val backend: String?,
    val body: String,
    val fault: String?,
)
