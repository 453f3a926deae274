package org.acaciaflow.transport.backend

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
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
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VertxBackendConnectionsTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

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
            }
        }
    }

    /** Guards against probes that keep a connection each for as long as their server stays silent. */
    @Test
    fun `a probe succeeds after probes on silent connections have timed out`() {
        val backend =
            RawBackend { output, _, number ->
                if (number <= SILENT_PROBES) Thread.sleep(60_000)
                write(output, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }

        backend.use {
            val caller = VertxBackendCaller(vertx, backend.address, "/health", connections = 2)
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
    }

    private object EmptyBody : CallBody {
        override val buffered = ByteString()
        override val whole = true

        override suspend fun next(): BodyPart = BodyPart.End
    }

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
                resumeFromToken = 0,
                timeLeft = 5.seconds,
            )
    }
}
