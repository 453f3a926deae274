package org.acaciaflow.transport.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.caller.CallerTimeouts
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.wholeBodyOf
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.protocol.http.RefusalEncoder
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.observation.MeteredObservations
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The timer of callers' connections beside calls in progress. */
class CallerConnectionTimerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val callScope = CoroutineScope(Dispatchers.Default)

    @AfterAll
    suspend fun close() {
        callScope.cancel()
        vertx.close().coAwait()
    }

    private val call = "POST /call HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"

    /** Guards against a refusal on a connection without a request, for an empty line behind a body. */
    @Test
    suspend fun `an empty line behind a body begins no head`() =
        check("C", listOf(call to 1200L, "\r\n" to 450L, call to 0L), 3500) { it shouldBe listOf(200, 200) }

    private suspend fun check(
        name: String,
        writes: List<Pair<String, Long>>,
        readFor: Long,
        size: Int = 3,
        expect: (List<Int>) -> Unit,
    ) = withContext(Dispatchers.IO) {
        val port = server(size).start(HostAddress("127.0.0.1", 0)).actualPort()
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 100
            for ((text, pause) in writes) {
                runCatching { socket.getOutputStream().write(text.toByteArray()) }
                delay(pause)
            }
            val got = StringBuilder()
            var count = 0
            val until = System.nanoTime() + readFor * 1_000_000
            val buffer = ByteArray(65536)
            var end = ""
            while (System.nanoTime() < until && end == "") {
                try {
                    val read = socket.getInputStream().read(buffer)
                    if (read <
                        0
                    ) {
                        end = "EOF"
                    } else {
                        count += read
                        got.append(String(buffer, 0, read, Charsets.ISO_8859_1))
                    }
                } catch (_: java.net.SocketTimeoutException) {
                } catch (e: Exception) {
                    end = "$e"
                }
            }
            val statuses = Regex("HTTP/1.1 (\\d+)").findAll(got).map { it.groupValues[1].toInt() }.toList()
            println("TIMER $name $statuses bytes=$count end=$end")
            expect(statuses)
            if (size > 3) (count > size) shouldBe true
        }
    }

    private fun server(size: Int): CallerServer {
        val acceptor =
            object : CallAcceptor {
                override suspend fun accept(exchange: CallerExchange) {
                    checkNotNull(wholeBodyOf(exchange.body))
                    delay(1000)
                    exchange.begin(AnswerHead(200, persistentListOf()))
                    exchange.send(ByteString(ByteArray(size)))
                    exchange.end()
                }
            }
        return CallerServer(
            vertx,
            acceptor,
            MeteredObservations(SimpleMeterRegistry()),
            callScope,
            Limits,
            createSteadyClock(),
        )
    }

    private object Limits : FrontEnd {
        override val refusals = RefusalEncoder(RefusalAnswer::of)
        override val stopping = false
        override val timeouts = CallerTimeouts(head = 300.milliseconds, idle = 700.milliseconds)

        override fun timeLimitOf(call: CallHead): Duration? = null

        override suspend fun bodyLimits(): BodyLimits = BodyLimits(100_000, 100_000, NotRun.BODY_TOO_LARGE)
    }
}
