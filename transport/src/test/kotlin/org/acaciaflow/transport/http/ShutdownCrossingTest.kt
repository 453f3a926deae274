package org.acaciaflow.transport.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField
import org.acaciaflow.transport.observation.MeteredObservations
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Requests on kept connections that cross the shutdown of a server with one event loop, as a gateway has. */
class ShutdownCrossingTest : AnnotationSpec() {
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val callScope = CoroutineScope(SupervisorJob() + vertx.orCreateContext.dispatcher())
    private val threads = Executors.newFixedThreadPool(CALLERS)

    @AfterAll
    suspend fun close() {
        threads.shutdownNow()
        callScope.cancel()
        vertx.close().coAwait()
    }

    /** Guards against a request that is accepted while its connection closes and gets no answer. */
    @Test
    suspend fun `each request that is accepted while the server shuts down is answered before the shutdown ends`() {
        repeat(ROUNDS) { round ->
            val random = Random(round)
            val accepted = ConcurrentHashMap.newKeySet<String>()
            val server = server(accepted)
            val port = server.start(HostAddress("127.0.0.1", 0)).actualPort()
            val sockets = List(CALLERS) { Socket("127.0.0.1", port) }
            val calls =
                sockets.mapIndexed {
                    number,
                    socket,
                    ->
                    callLater(socket, "/$number", random.nextLong(LATEST_MICROSECONDS))
                }

            delay(SHUTDOWN_AT)
            val took = measureTime { server.shutdown(5.seconds) }
            val open = server.openCalls

            val answered = calls.map { it.join() }
            sockets.forEach { it.close() }
            println("shutdown $round: $took, accepted ${accepted.size}, answered ${answered.count { it }}")
            open shouldBe 0
            answered.withIndex().filter { !it.value && "/${it.index}" in accepted }.shouldBeEmpty()
        }
    }

    private fun callLater(
        socket: Socket,
        path: String,
        microseconds: Long,
    ): CompletableFuture<Boolean> =
        CompletableFuture.supplyAsync({
            TimeUnit.MICROSECONDS.sleep(microseconds)
            try {
                socket.soTimeout = PATIENCE_MILLISECONDS
                socket.getOutputStream().write(
                    "POST $path HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".toByteArray(),
                )
                val answer = ByteArray(ANSWER_BYTES)
                socket.getInputStream().read(answer) > 0
            } catch (_: IOException) {
                false
            }
        }, threads)

    private fun server(accepted: MutableSet<String>): CallerServer {
        val acceptor =
            object : CallAcceptor {
                override suspend fun accept(exchange: CallerExchange) {
                    accepted += exchange.call.target
                    delay(WORK)
                    exchange.begin(AnswerHead(200, persistentListOf(HeaderField("Content-Length", "0"))))
                    exchange.end()
                }
            }
        val frontEnd = FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1000, bufferedBytes = 1000, StopSignal())
        return CallerServer(
            vertx,
            acceptor,
            MeteredObservations(SimpleMeterRegistry()),
            callScope,
            frontEnd,
            createSteadyClock(),
        )
    }

    private companion object {
        const val ROUNDS = 4
        const val CALLERS = 40
        const val LATEST_MICROSECONDS = 20_000L
        const val PATIENCE_MILLISECONDS = 5_000
        const val ANSWER_BYTES = 1_024
        val SHUTDOWN_AT = 10.milliseconds
        val WORK = 30.milliseconds
    }
}
