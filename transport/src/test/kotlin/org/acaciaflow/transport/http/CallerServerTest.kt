package org.acaciaflow.transport.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
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
import org.acaciaflow.coordination.caller.CallerTimeouts
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.wholeBodyOf
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.protocol.http.RefusalEncoder
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.observation.MeteredObservations
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class CallerServerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val callScope = CoroutineScope(Dispatchers.Default)
    private val accepted = AtomicInteger()
    private val bodySizes = CopyOnWriteArrayList<Int>()

    @AfterAll
    suspend fun close() {
        callScope.cancel()
        vertx.close().coAwait()
    }

    /** Guards against a process that ends while calls that it has read wait for their answers. */
    @Test
    suspend fun `a shutdown answers the calls in progress, closes idle connections and frees the port`() {
        accepted.set(0) // other tests of this class have calls too
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
        shouldThrow<ConnectException> { Socket("127.0.0.1", port).close() }
    }

    /** Guards against a stop that waits for its whole time, and takes a call at its end, for connections without a call so far. */
    @Test
    suspend fun `a shutdown closes connections that have sent no whole head at once`() {
        val server = server(work = Duration.ZERO)
        val port = server.start(HostAddress("127.0.0.1", 0)).actualPort()
        for (written in listOf("", "POST /call HTTP/1.1\r\nHost: a\r\n")) {
            Socket("127.0.0.1", port).getOutputStream().write(written.toByteArray())
        }
        delay(100)

        val took = measureTime { server.shutdown(5.seconds) }

        took shouldBeLessThan 2.seconds
    }

    /** Guards against a body that is cut at a limit and then run, under a length that fits what is left of it. */
    @Test
    suspend fun `a body is accepted whole or refused as too large`() {
        val port = startServer(FixedLimits(LIMIT_BYTES.toLong()))

        for (size in listOf(0, 1, LIMIT_BYTES - 1, LIMIT_BYTES, LIMIT_BYTES + 1, 5 * LIMIT_BYTES)) {
            for (chunked in listOf(true, false)) {
                bodySizes.clear()

                val status = send(port, size, chunked)

                val fits = size <= LIMIT_BYTES
                status shouldBe if (fits) 200 else 413
                bodySizes.toList() shouldBe if (fits) listOf(size) else emptyList()
            }
        }
    }

    /** Guards against limits beyond 32 bits that are cut to a number below the size of a body. */
    @Test
    suspend fun `a body is accepted whole under limits of two and four GiB`() {
        for (limit in listOf(Int.MAX_VALUE.toLong(), Int.MAX_VALUE + 1L, 4L * 1024 * 1024 * 1024)) {
            val port = startServer(FixedLimits(limit))
            bodySizes.clear()

            send(port, size = 200_000, chunked = false) shouldBe 200
            send(port, size = 200_000, chunked = true) shouldBe 200

            bodySizes.toList() shouldBe listOf(200_000, 200_000)
        }
    }

    /** Guards against a limit that is read twice for a call, with a change of the configuration in between. */
    @Test
    suspend fun `the limit that holds when a call arrives holds for all of it`() {
        val port = startServer(FixedLimits(LIMIT_BYTES.toLong(), later = 10L * LIMIT_BYTES))
        bodySizes.clear()

        send(port, 2 * LIMIT_BYTES, chunked = true) shouldBe 413
        send(port, 2 * LIMIT_BYTES, chunked = true) shouldBe 200

        bodySizes.toList() shouldBe listOf(2 * LIMIT_BYTES)
    }

    private suspend fun startServer(limits: FrontEnd): Int =
        server(work = Duration.ZERO, limits).start(HostAddress("127.0.0.1", 0)).actualPort()

    private suspend fun send(
        port: Int,
        size: Int,
        chunked: Boolean,
    ): Int =
        withTimeout(30.seconds) {
            vertx
                .createHttpClient()
                .request(HttpMethod.POST, port, "127.0.0.1", "/call")
                .compose { request ->
                    request.isChunked = chunked
                    request.send(Buffer.buffer(ByteArray(size)))
                }.compose { response -> response.body().map(response.statusCode()) }
                .coAwait()
        }

    /** Limits of [bytes] for the first call and of [later] for the calls after it. */
    private class FixedLimits(
        private val bytes: Long,
        private val later: Long = bytes,
    ) : FrontEnd {
        private val calls = AtomicInteger()
        override val refusals = RefusalEncoder(RefusalAnswer::of)
        override val stopping = false
        override val timeouts = CallerTimeouts.UNBOUNDED

        override fun timeLimitOf(call: CallHead): Duration? = null

        override suspend fun bodyLimits(): BodyLimits {
            val limit = if (calls.getAndIncrement() == 0) bytes else later
            return BodyLimits(limit, limit, NotRun.BODY_TOO_LARGE)
        }
    }

    private fun server(
        work: Duration,
        frontEnd: FrontEnd =
            FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1000, bufferedBytes = 1000, StopSignal()),
    ): CallerServer {
        val acceptor =
            object : CallAcceptor {
                override suspend fun accept(exchange: CallerExchange) {
                    accepted.incrementAndGet()
                    bodySizes += checkNotNull(wholeBodyOf(exchange.body)).bytes.size
                    delay(work)
                    exchange.begin(AnswerHead(200, persistentListOf()))
                    exchange.send(ByteString(1, 2, 3))
                    exchange.end()
                }
            }
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
        const val LIMIT_BYTES = 100_000
    }
}
