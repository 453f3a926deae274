package org.acaciaflow.transport.backend

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
<<<<<<< HEAD
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
=======
import kotlinx.coroutines.runBlocking
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
>>>>>>> ca4153d2bb636ea37cd2e416600dbe13f536bbb9
import org.acaciaflow.coordination.port.AnswerSink
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.BackendHealth
import org.acaciaflow.coordination.port.BackendResult
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.transport.direct.RawBackend
import java.io.OutputStream
<<<<<<< HEAD
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds
=======
import java.util.concurrent.ConcurrentHashMap
>>>>>>> ca4153d2bb636ea37cd2e416600dbe13f536bbb9
import kotlin.time.Duration.Companion.seconds

class VertxBackendCallerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    @Test
    fun `a probe that gets bytes that are no answer finds the backend server unreachable`() {
        val answers =
            mapOf<String, RawBackend.(OutputStream) -> Unit>(
                "a header that is none" to { write(it, "HTTP/1.1 200 OK\r\nbad/name: x\r\n\r\n") },
                "no HTTP" to { write(it, "what is this\r\n\r\n") },
                "an endless status line" to { pour(it, "H".repeat(1024)) },
                "endless headers" to {
                    write(it, "HTTP/1.1 200 OK\r\n")
                    pour(it, "X: y\r\n".repeat(100))
                },
            )
        for ((name, answer) in answers) {
            RawBackend { output, _, _ -> answer(output) }.use { backend ->
                val caller = VertxBackendCaller(vertx, backend.address, "/health", connections = 2)

                withClue(name) {
                    runBlocking { caller.probe() } shouldBe BackendHealth.Unreachable
                    backend.poured.get() shouldBeLessThan 16L * 1024 * 1024
                }
            }
        }
    }

<<<<<<< HEAD
    /** Guards against a sidecar that has no connection left once callers left while they waited for one. */
    @Test
    fun `a call succeeds after another was cancelled while it waited for a connection`() {
        val silent = AtomicBoolean(true)
        val backend =
            RawBackend { output, _, _ ->
                while (silent.get()) Thread.sleep(5)
                write(output, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }

        backend.use {
            val caller = VertxBackendCaller(vertx, backend.address, "/health", connections = 1)
            runBlocking {
                val running = launch { caller.call(ORDER, EmptyBody, IgnoringSink) }
                while (backend.connections.get() == 0) delay(5.milliseconds)
                val waiting = launch { caller.call(ORDER, EmptyBody, IgnoringSink) }
                delay(50.milliseconds)
                waiting.cancelAndJoin()
                running.cancelAndJoin()
                silent.set(false)

                val result = withTimeoutOrNull(2.seconds) { caller.call(ORDER, EmptyBody, IgnoringSink) }

                result shouldBe BackendResult.Completed
=======
    /** Guards against a head that breaks off and is taken for a whole answer with an empty or short body. */
    @Test
    fun `a head that stops anywhere and whose connection closes is no answer of a sidecar's server`() {
        val framings = listOf("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "")
        for (framing in framings) {
            val whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n$framing\r\n"
            for (cut in 1 until whole.length) {
                val backend =
                    RawBackend { output, _, _ ->
                        write(output, whole.take(cut))
                        output.close()
                    }
                backend.use {
                    val caller = VertxBackendCaller(vertx, backend.address, "/health", connections = 2)

                    withClue("cut at $cut of '$framing'") {
                        runBlocking { caller.call(ORDER, EmptyBody, NoAnswer) }
                            .shouldBeInstanceOf<BackendResult.Broken>()
                        runBlocking { caller.probe() } shouldBe BackendHealth.Unreachable
                    }
                }
>>>>>>> ca4153d2bb636ea37cd2e416600dbe13f536bbb9
            }
        }
    }

<<<<<<< HEAD
    /** Guards against probes that keep a connection each for as long as their server stays silent. */
    @Test
    fun `a probe succeeds after probes on silent connections have timed out`() {
        val backend =
            RawBackend { output, _, number ->
                if (number <= SILENT_PROBES) Thread.sleep(60_000)
                write(output, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
=======
    /** Guards against an earlier answer, written once more, that a caller gets in place of its own. */
    @Test
    fun `an answer written once more does not answer the next call`() {
        val earlier = ConcurrentHashMap<OutputStream, String>()
        val backend =
            RawBackend { output, _, number ->
                val body = earlier.computeIfAbsent(output) { "answer $number" }
                write(output, "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body")
>>>>>>> ca4153d2bb636ea37cd2e416600dbe13f536bbb9
            }

        backend.use {
            val caller = VertxBackendCaller(vertx, backend.address, "/health", connections = 2)
<<<<<<< HEAD
            runBlocking {
                val silent = List(SILENT_PROBES) { caller.probe() }

                val later = caller.probe()

                silent shouldBe List(SILENT_PROBES) { BackendHealth.Unreachable }
                later.shouldBeInstanceOf<BackendHealth.Alive>()
            }
        }
    }

    private object IgnoringSink : AnswerSink {
        override suspend fun head(head: AnswerHead) = Unit

        override suspend fun data(bytes: ByteString) = Unit
=======
            val sink = CollectedAnswers()
            runBlocking {
                repeat(3) { caller.call(ORDER, EmptyBody, sink) shouldBe BackendResult.Completed }
            }

            sink.bodies shouldBe listOf("answer 1", "answer 2", "answer 3")
        }
    }

    /** Keeps the bodies of all answers, each of one part. */
    private class CollectedAnswers : AnswerSink {
        val bodies = mutableListOf<String>()

        override suspend fun head(head: AnswerHead) = Unit

        override suspend fun data(bytes: ByteString) {
            bodies += bytes.decodeToString()
        }
>>>>>>> ca4153d2bb636ea37cd2e416600dbe13f536bbb9
    }

    private object EmptyBody : CallBody {
        override val buffered = ByteString()
        override val whole = true

        override suspend fun next(): BodyPart = BodyPart.End
    }

<<<<<<< HEAD
    private companion object {
        const val SILENT_PROBES = 5
        val PROCESS = ProcessIdentity(HostAddress("127.0.0.1", 1), 1)
        val ORDER =
            AttemptOrder(
                attempt = AttemptIdentity(PROCESS, 1),
                sidecar = PROCESS,
                call = CallHead("POST", "/", persistentListOf()),
                rank = Rank.STANDARD,
                atMostOnce = true,
                alone = false,
                digest = RequestDigest("00"),
=======
    /** Fails if any part of an answer is passed on. */
    private object NoAnswer : AnswerSink {
        override suspend fun head(head: AnswerHead) = error("answer head passed on: $head")

        override suspend fun data(bytes: ByteString) = error("answer data passed on: $bytes")
    }

    private companion object {
        val SIDECAR = ProcessIdentity(HostAddress("127.0.0.1", 1), 1)
        val ORDER =
            AttemptOrder(
                attempt = AttemptIdentity(SIDECAR, 1),
                sidecar = SIDECAR,
                call = CallHead("POST", "/", persistentListOf()),
                rank = Rank.STANDARD,
                atMostOnce = false,
                alone = false,
                digest = RequestDigest("digest"),
>>>>>>> ca4153d2bb636ea37cd2e416600dbe13f536bbb9
                resumeFromToken = 0,
                timeLeft = 5.seconds,
            )
    }
}
