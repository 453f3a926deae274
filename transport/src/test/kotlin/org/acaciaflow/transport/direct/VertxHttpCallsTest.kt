package org.acaciaflow.transport.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Semaphore
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.state.work.CallHead
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VertxHttpCallsTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val calls = VertxHttpCalls(vertx, MAXIMUM_BYTES, keepAlive = true)

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against asking again and again for an answer over the limit, which looked like a lost connection. */
    @Test
    fun `an answer over the limit is told apart from a lost connection`() =
        runBlocking<Unit> {
            val sizes = listOf(MAXIMUM_BYTES, MAXIMUM_BYTES + 1)

            val (whole, excess) = sizes.map { size -> backendWithBody(size, size).use { call(it) } }
            val lost = backendWithBody(MAXIMUM_BYTES, MAXIMUM_BYTES - 1).use { call(it) }

            whole.shouldBeInstanceOf<HttpResult.Answered>().body.size shouldBe MAXIMUM_BYTES
            excess shouldBe HttpResult.AnswerTooLarge
            lost shouldBe HttpResult.ConnectionLost
        }

    /** Guards against a call that gets the fields and the body of the next answer of its connection. */
    @Test
    fun `an answer whose head is cut and runs into another is none`() =
        runBlocking<Unit> {
            val cutHeads = listOf("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nStore: a")
            for (cutHead in cutHeads) {
                val backend =
                    RawBackend { output, _, _ ->
                        write(
                            output,
                            cutHead + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother",
                        )
                    }

                backend.use { call(it) shouldBe HttpResult.ConnectionLost }
            }
        }

    /** Guards against an answer of the store, a peer or a server whose status no answer has. */
    @Test
    fun `a short call gets no answer with a status that none has`() =
        runBlocking<Unit> {
            for (status in listOf("000", "099", "101", "102", "600", "777")) {
                val backend =
                    RawBackend { output, _, _ -> write(output, "HTTP/1.1 $status Odd\r\nContent-Length: 2\r\n\r\nok") }

                withClue(status) { backend.use { call(it, 1.seconds) shouldBe HttpResult.ConnectionLost } }
            }
        }

    /** Guards against a client that has no connection left once more calls timed out than it has connections. */
    @Test
    fun `calls succeed again after more calls than connections timed out`() {
        val silent = AtomicBoolean(true)
        val backend =
            RawBackend { output, _, _ ->
                while (silent.get()) Thread.sleep(5)
                write(output, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }

        backend.use {
            runBlocking {
                val during = List(3 * CONNECTIONS) { async { call(backend, 300.milliseconds) } }.awaitAll()
                silent.set(false)
                val after = List(2 * CONNECTIONS) { async { call(backend, 2.seconds) } }.awaitAll()

                during shouldBe List(3 * CONNECTIONS) { HttpResult.TimedOut }
                after.count { it is HttpResult.Answered } shouldBe 2 * CONNECTIONS
            }
        }
    }

    /** Guards against an answer, written once more while no call is in progress, that the next call gets. */
    @Test
    fun `a second answer that arrives before the next call is sent answers no call`() {
        for (pause in listOf(Duration.ZERO, 30.milliseconds)) {
            val copies = Semaphore(10, acquiredPermits = 10)
            val backend =
                RawBackend { output, _, number ->
                    write(output, answerBytes(200, "answer $number"))
                    Thread.sleep(pause.inWholeMilliseconds)
                    write(output, answerBytes(200, "copy $number"))
                    copies.release()
                }
            backend.use {
                val bodies =
                    runBlocking {
                        List(10) {
                            val answer = call(backend).shouldBeInstanceOf<HttpResult.Answered>()
                            copies.acquire()
                            delay(100.milliseconds)
                            answer.body.decodeToString()
                        }
                    }

                println("pause $pause: ${backend.connections.get()} connections for 10 calls")
                bodies shouldBe List(10) { "answer ${it + 1}" }
            }
        }
    }

    /** A server whose answers declare [declared] bytes and have [sent] before the connection closes. */
    private fun backendWithBody(
        declared: Int,
        sent: Int,
    ) = RawBackend { output, _, _ ->
        write(output, "HTTP/1.1 200 OK\r\nContent-Length: $declared\r\n\r\n" + "x".repeat(sent))
        output.close()
    }

    private suspend fun call(
        backend: RawBackend,
        timeout: Duration = 5.seconds,
    ): HttpResult = calls.call(backend.address, CallHead("GET", "/", persistentListOf()), ByteString(), timeout)

    private companion object {
        const val CONNECTIONS = 4
        const val MAXIMUM_BYTES = 64 * 1024
    }
}
