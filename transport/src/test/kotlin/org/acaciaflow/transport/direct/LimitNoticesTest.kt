package org.acaciaflow.transport.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.LimitNotice
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Duration.Companion.seconds

/** Limits that backend servers name in answers, read from bytes on loopback connections. */
class LimitNoticesTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val tables = createRelayTables()
    private val connections =
        DirectConnections(
            vertx,
            LimitDialect,
            createBackendAvailability(tables),
            tables.surplus,
            createConnectionObserver(),
            VertxHttpCalls(vertx, maximumBytes = 64 * 1024),
            CoroutineScope(Dispatchers.Default),
            createSteadyClock(),
        )

    @BeforeEach
    fun forgetLimits() {
        tables.limits.update { ServerLimits.NONE }
    }

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against limits that are read only from successes, or after the body. */
    @Test
    fun `a limit counts from the head of a success, a refusal and a failure`() {
        for (head in listOf("200 OK", "503 Busy", "500 Failed")) {
            forgetLimits()
            RawBackend { output, id, _ ->
                write(output, "HTTP/1.1 $head\r\nRequest-Id: $id\r\nLimit: 4.3\r\nContent-Length: 100\r\n\r\n")
                Thread.sleep(BODY_DELAY_MILLISECONDS)
            }.use { backend ->
                runBlocking {
                    val stream = connections.open(orderTo(backend.address, "request-1"), emptyBody())
                    withTimeout(2.seconds) { stream.next() }
                    stream.cancel()

                    withClue(head) { limits() shouldContainExactly listOf(4.3) }
                }
            }
        }
    }

    /** Guards against limits that are not heard from an engine that only prefills. */
    @Test
    fun `a limit in the answer to a prefill counts`() {
        RawBackend { output, id, _ -> write(output, answer(id, "Limit: 4.3\r\n")) }.use { backend ->
            runBlocking {
                connections
                    .prefill(orderTo(backend.address, "request-1"), emptyBody())
                    .shouldBeInstanceOf<PrefillOutcome.Ready>()

                limits() shouldContainExactly listOf(4.3)
            }
        }
    }

    /** Guards against a server that is held back because of a limit that another server named. */
    @Test
    fun `a limit in the answer to another request does not count`() {
        RawBackend { output, _, _ -> write(output, answer("other", "Limit: 4.3\r\n")) }.use { backend ->
            runBlocking {
                connections
                    .open(orderTo(backend.address, "request-1"), emptyBody())
                    .next()
                    .shouldBeInstanceOf<AttemptEvent.Broken>()

                limits().shouldBeEmpty()
            }
        }
    }

    /** Guards against a limit that is ended by an answer to a request from before it was named. */
    @Test
    fun `an answer without a limit ends it unless its request was sent before`() {
        RawBackend { output, id, _ ->
            if (id == "request-slow") Thread.sleep(SLOW_MILLISECONDS)
            write(output, answer(id, if (id == "request-1") "Limit: 4.3\r\n" else ""))
        }.use { backend ->
            runBlocking {
                val slow = connections.open(orderTo(backend.address, "request-slow"), emptyBody())
                readToEnd(connections.open(orderTo(backend.address, "request-1"), emptyBody()))
                readToEnd(slow)
                limits() shouldContainExactly listOf(4.3)

                readToEnd(connections.open(orderTo(backend.address, "request-2"), emptyBody()))
                limits().shouldBeEmpty()
            }
        }
    }

    /** Guards against a crash or a changed limit because of a value that means nothing. */
    @Test
    fun `an unreadable limit leaves the one that was named and is noted once`() {
        val values = mapOf("request-1" to "4.3", "request-2" to "soon", "request-3" to "soon")
        RawBackend { output, id, _ -> write(output, answer(id, "Limit: ${values[id]}\r\n")) }.use { backend ->
            runBlocking {
                for (id in values.keys) {
                    readToEnd(connections.open(orderTo(backend.address, id), emptyBody()))
                }

                limits() shouldContainExactly listOf(4.3)
                tables.notices
                    .snapshot()
                    .unreadableLogged.size shouldBe 1
            }
        }
    }

    /** The limits that hold, in requests a second. */
    private fun limits(): List<Double> =
        tables.limits
            .snapshot()
            .byLife.values
            .mapNotNull { (it.word as? LimitWord.Named)?.perSecond }

    private fun answer(
        requestId: String,
        fields: String,
    ): String = "HTTP/1.1 200 OK\r\nRequest-Id: $requestId\r\n${fields}Content-Length: 0\r\n\r\n"

    /** As [TestDialect], with the field `Limit`. */
    private object LimitDialect : BackendDialect by TestDialect {
        override fun limitNotice(head: AnswerHead): LimitNotice {
            val value = head.headers.firstOrNull { it.name.equals("limit", ignoreCase = true) }?.value
            val perSecond = value?.toDoubleOrNull()
            return when {
                value == null -> LimitNotice.Absent
                perSecond == null -> LimitNotice.Unreadable(value)
                else -> LimitNotice.Named(perSecond)
            }
        }
    }

    private companion object {
        const val BODY_DELAY_MILLISECONDS = 1_000L
        const val SLOW_MILLISECONDS = 500L
    }
}
