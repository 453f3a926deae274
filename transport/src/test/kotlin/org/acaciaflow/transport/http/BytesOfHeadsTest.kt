package org.acaciaflow.transport.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.wholeBodyOf
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.dialect.AnswerVerdict
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.direct.DirectConnections
import org.acaciaflow.transport.direct.RawBackend
import org.acaciaflow.transport.direct.TestDialect
import org.acaciaflow.transport.direct.VertxHttpCalls
import org.acaciaflow.transport.direct.createBackendAvailability
import org.acaciaflow.transport.direct.createConnectionObserver
import org.acaciaflow.transport.direct.createSurplusAnswers
import org.acaciaflow.transport.observation.MeteredObservations
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Sends raw heads through the callers' port to a raw backend server; each character stands for one byte. */
class BytesOfHeadsTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val callScope = CoroutineScope(Dispatchers.Default)
    private val connections =
        DirectConnections(
            vertx,
            PassingDialect,
            createBackendAvailability(),
            createSurplusAnswers(),
            createConnectionObserver(),
            VertxHttpCalls(
                vertx,
                maximumBytes =
                    64 * 1024,
            ),
            callScope,
            createSteadyClock(),
        )

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            callScope.cancel()
            vertx.close().coAwait()
        }

    /** Guards against a path or query that reaches the backend server with other bytes than its caller sent. */
    @Test
    fun `a target goes on byte for byte or is refused`() {
        val random = Random(SEED)
        val plain = List(CASES) { "/" + random.text(PLAIN) + "?" + random.text(PLAIN) }
        val arbitrary = List(CASES) { "/" + random.text(ANY) + "?" + random.text(ANY) }
        val named =
            listOf("/\u00F1", "/?q=\u00F1", "/\u00C3\u00B1", "/a//b/../c/./%2e%2E", "/%zz", "/?", "/??a=&&a", "/#x")

        gateway { port, backend ->
            val statuses = (named + plain + arbitrary).map { target -> target to passOn(port, backend, target) }

            statuses.filter { (target, status) -> target.all { it in PLAIN } && status != 200 }.shouldBeEmpty()
            statuses.count { (_, status) -> status == 400 } shouldBeGreaterThan 0
        }
    }

    /** Guards against header values that are changed, merged, dropped or put into another order on their way. */
    @Test
    fun `header values of a request go on byte for byte or are refused`() {
        val random = Random(SEED)

        gateway { port, backend ->
            for (allowed in listOf(FIELD_BYTES, ANY)) {
                repeat(CASES) {
                    val values = List(random.nextInt(4)) { random.text(allowed) }

                    val status = passOn(port, backend, "/", values)

                    if (allowed == FIELD_BYTES) withClue(bytesOf(values)) { status shouldBe 200 }
                }
            }
        }
    }

    /** Guards against header values of an answer that are changed, merged, dropped or reordered on their way. */
    @Test
    fun `header values of an answer come back byte for byte or the answer fails`() {
        val random = Random(SEED)
        var values = emptyList<String>()
        val fields = { values.joinToString("") { "X-Test: $it\r\n" } }

        gateway(fields) { port, _ ->
            for (allowed in listOf(FIELD_BYTES, ANY)) {
                repeat(CASES) {
                    values = List(random.nextInt(4)) { random.text(allowed) }

                    val answer = exchange(port, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")

                    withClue(bytesOf(values)) {
                        val status = statusOf(answer)
                        if (status == 200) valuesIn(answer) shouldBe values.map(::trimmed) else status shouldBe 504
                        if (allowed == FIELD_BYTES) status shouldBe 200
                    }
                }
            }
        }
    }

    /** Sends a request, checks that it arrived unchanged or was refused with status 400, and returns the status. */
    private fun passOn(
        port: Int,
        backend: RawBackend,
        target: String,
        values: List<String> = emptyList(),
    ): Int {
        backend.heads.clear()
        val fields = values.joinToString("") { "X-Test: $it\r\n" }

        val answer = exchange(port, "GET $target HTTP/1.1\r\nHost: h\r\nConnection: close\r\n$fields\r\n")

        val status = statusOf(answer)
        withClue("target ${bytesOf(listOf(target))}, values ${bytesOf(values)}") {
            if (status == 200) {
                val head = backend.heads.single()
                bytesOf(listOf(head.substringBefore("\r\n"))) shouldBe
                    bytesOf(listOf("GET ${target.trim(*DELIMITERS)} HTTP/1.1"))
                bytesOf(valuesIn(head)) shouldBe bytesOf(values.map(::trimmed))
            } else {
                status shouldBe 400
                backend.heads.shouldBeEmpty()
            }
        }
        return status
    }

    private fun gateway(
        answerFields: () -> String = { "" },
        check: (port: Int, backend: RawBackend) -> Unit,
    ) {
        val backend =
            RawBackend { output, _, _ ->
                val head = "HTTP/1.1 200 OK\r\n${answerFields()}Content-Length: 0\r\n\r\n"
                output.write(head.toByteArray(Charsets.ISO_8859_1))
                output.flush()
            }
        backend.use {
            val acceptor = PassingAcceptor(connections, backend.address)
            val frontEnd = FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1000, bufferedBytes = 1000, StopSignal())
            val observations = MeteredObservations(SimpleMeterRegistry())
            val server = CallerServer(vertx, acceptor, observations, callScope, frontEnd, createSteadyClock())
            val port = runBlocking { server.start(HostAddress("127.0.0.1", 0)).actualPort() }
            check(port, backend)
        }
    }

    private fun exchange(
        port: Int,
        request: String,
    ): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 5_000
            socket.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
            socket.getInputStream().readAllBytes().toString(Charsets.ISO_8859_1)
        }

    private fun statusOf(answer: String): Int = answer.split(' ').getOrNull(1)?.toIntOrNull() ?: 0

    private fun valuesIn(head: String): List<String> =
        head
            .substringBefore("\r\n\r\n")
            .split("\r\n")
            .filter { it.startsWith("X-Test:", ignoreCase = true) }
            .map { trimmed(it.substringAfter(':')) }

    /** Spaces and tabs around a value are no part of it (RFC 9110, section 5.5). */
    private fun trimmed(value: String): String = value.trim(' ', '\t')

    private fun bytesOf(texts: List<String>): List<String> =
        texts.map { text -> text.toByteArray(Charsets.ISO_8859_1).toHexString() }

    private fun Random.text(allowed: List<Char>): String =
        List(nextInt(MAXIMUM_LENGTH)) { allowed.random(this) }.joinToString("")

    /** Passes each call on as it came. */
    private object PassingDialect : BackendDialect by TestDialect {
        override fun runHead(order: RunOrder): CallHead = order.call

        override fun classifyAnswer(
            order: RunOrder,
            purpose: CallPurpose,
            head: AnswerHead,
        ): AnswerVerdict = AnswerVerdict.Genuine
    }

    private class PassingAcceptor(
        private val connections: DirectConnections,
        private val address: HostAddress,
    ) : CallAcceptor {
        override suspend fun accept(exchange: CallerExchange) {
            val stream = connections.open(orderFor(exchange.call), checkNotNull(wholeBodyOf(exchange.body)))
            try {
                pass(stream, exchange)
            } finally {
                stream.cancel()
            }
        }

        private suspend fun pass(
            stream: AttemptStream,
            exchange: CallerExchange,
        ) {
            while (true) {
                when (val event = stream.next()) {
                    is AttemptEvent.Head -> exchange.begin(event.head)
                    is AttemptEvent.Data -> exchange.send(event.bytes)
                    AttemptEvent.End -> return exchange.end().let { }
                    is AttemptEvent.Broken -> return exchange.refuse(event.reason, null).let { }
                    is AttemptEvent.Refused -> return exchange.refuse(MayHaveRun.BACKEND_CRASHED, null).let { }
                }
            }
        }

        private fun orderFor(call: CallHead) =
            RunOrder(
                backend =
                    BackendEntry(
                        life = BackendLife("backend", 1),
                        pool = PoolName("pool"),
                        address = address,
                        dataCentre = DataCentre("north"),
                        slots = 8,
                        draining = false,
                        role = EngineRole.MIXED,
                        software = SoftwareVersion("1"),
                    ),
                call = call,
                requestId = "request",
                timeLeft = 5.seconds,
                deadline = Instant.DISTANT_FUTURE,
                urgency = 0,
                resumeAfter = null,
                source = null,
                expectsEvents = false,
                repeatable = true,
                route = RouteName("route"),
            )
    }

    private companion object {
        const val SEED = 34
        const val CASES = 150
        const val MAXIMUM_LENGTH = 24

        /** Bytes that a recipient may read as the space after a target (RFC 9112, section 3). */
        val DELIMITERS = charArrayOf(' ', '\t', '\u000B', '\u000C')
        val PLAIN = ('!'..'~').toList()
        val FIELD_BYTES = listOf('\t') + (' '..'~') + ('\u0080'..'\u00FF')
        val ANY = ('\u0000'..'\u00FF') - listOf('\r', '\n')
    }
}
