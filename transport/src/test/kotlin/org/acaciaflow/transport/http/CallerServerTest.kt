package org.acaciaflow.transport.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.transport.observation.MeteredObservations
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class CallerServerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val callScope = CoroutineScope(Dispatchers.Default)
    private val accepted = AtomicInteger()

    @AfterAll
    suspend fun close() {
        callScope.cancel()
        vertx.close().coAwait()
    }

    /** Guards against a process that ends while calls that it has read wait for their answers. */
    @Test
    suspend fun `a shutdown answers the calls in progress, closes idle connections and frees the port`() {
        val server = server(work = 400.milliseconds)
        val port = server.start(HostAddress("127.0.0.1", 0)).actualPort()
        val client = vertx.createHttpClient(HttpClientOptions(), PoolOptions().setHttp1MaxSize(30))

        suspend fun call(): Int =
            client
                .request(HttpMethod.POST, port, "127.0.0.1", "/call")
                .compose { it.send() }
                .compose { response -> response.body().map(response.statusCode()) }
                .coAwait()

        withTimeout(30.seconds) {
            val calls = List(20) { async { call() } }
            while (accepted.get() < 20) delay(5)

            val took = measureTime { server.shutdown(10.seconds) }

            calls.map { it.await() } shouldBe List(20) { 200 }
            took shouldBeLessThan 5.seconds
        }
        val refused = runCatching { call() }.exceptionOrNull()
        (refused is ConnectException) shouldBe true
    }

    private fun server(work: Duration): CallerServer {
        val acceptor =
            object : CallAcceptor {
                override suspend fun accept(exchange: CallerExchange) {
                    accepted.incrementAndGet()
                    delay(work)
                    exchange.begin(AnswerHead(200, persistentListOf()))
                    exchange.send(ByteString(1, 2, 3))
                    exchange.end()
                }
            }
        val frontEnd = FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1000, bufferedBytes = 1000, StopSignal())
        return CallerServer(vertx, acceptor, MeteredObservations(SimpleMeterRegistry()), callScope, frontEnd)
    }
}
