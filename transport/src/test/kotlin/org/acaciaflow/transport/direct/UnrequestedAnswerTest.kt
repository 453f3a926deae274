package org.acaciaflow.transport.direct

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.connection.AnswerOwner
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.AttemptEvent
import kotlin.time.Duration.Companion.milliseconds

/** What the log says of answers that no request waits for, and of the ends of connections. */
class UnrequestedAnswerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val recorded = RecordedConnections()
    private val connections = createDirectConnections(vertx, observer = ConnectionObserver(recorded))

    @BeforeEach
    fun forget() = recorded.clear()

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against a server that answers twice without a trace in the log of what it answered first. */
    @Test
    fun `a second answer after the first one is reported with the status of both`() {
        val backend =
            RawBackend { output, id, _ ->
                Thread.sleep(50)
                write(output, answerBytes(500, "failed", "Request-Id: $id", "Signature: first"))
                Thread.sleep(50)
                write(output, answerBytes(200, "ok", "Request-Id: $id", "Signature: second"))
            }
        backend.use {
            runBlocking {
                readToEnd(connections.open(orderTo(backend.address, "request-1"), emptyBody())).second shouldBe
                    AttemptEvent.End
                delay(300.milliseconds)
            }
        }

        val reported = recorded.events.filterIsInstance<Event.BackendAnswerUnrequested>().single()
        println("reported: $reported")
        listOf(reported.lastStatus, reported.status) shouldContainExactly listOf(500, 200)
        listOf(reported.lastRequestId, reported.requestId) shouldContainExactly listOf("request-1", "request-1")
        listOf(reported.lastSignature, reported.signature) shouldContainExactly listOf("first", "second")
        listOf(reported.lastForm, reported.form).map { "$it" } shouldContainExactly
            listOf("500:request-id,signature", "200:request-id,signature")
        reported.lastTook shouldBeGreaterThanOrEqualTo 40.milliseconds
        reported.after shouldBeGreaterThanOrEqualTo 40.milliseconds
        recorded.closeReasons() shouldContain ConnectionCloseReason.ANSWER_UNREQUESTED
    }

    /** Guards against a connection whose end leaves no trace, so that nobody can tell who closed it. */
    @Test
    fun `the end of a connection is reported with its reason`() {
        val closing =
            RawBackend { output, id, _ ->
                write(output, answerBytes(200, "ok", "Request-Id: $id"))
                output.close()
            }
        val silent = RawBackend { _, _, _ -> Thread.sleep(1000) }
        runBlocking {
            closing.use {
                readToEnd(connections.open(orderTo(it.address, "request-2"), emptyBody()))
                delay(200.milliseconds)
            }
            silent.use {
                connections.open(orderTo(it.address, "request-3"), emptyBody()).cancel()
                delay(200.milliseconds)
            }
        }

        val reasons = recorded.disconnects().associate { it.requestId to it.reason }
        reasons["request-2"] shouldBe ConnectionCloseReason.ENDED
        reasons["request-3"] shouldBe ConnectionCloseReason.REQUEST_ABANDONED
    }

    /** Guards against a late answer to an earlier request that is reported as one that the connection never carried. */
    @Test
    fun `a second answer to a request before the last one is reported as one of an earlier request`() {
        val backend =
            RawBackend { output, id, _ ->
                val earlier = earlierOnConnection(id)
                write(output, answerBytes(200, "ok", "Request-Id: $id"))
                Thread.sleep(50)
                if (earlier != null) write(output, answerBytes(200, "ok", "Request-Id: $earlier"))
            }
        backend.use {
            runBlocking {
                for (id in listOf("request-4", "request-5")) {
                    readToEnd(connections.open(orderTo(it.address, id), emptyBody()))
                    delay(200.milliseconds)
                }
            }
        }

        backend.connections.get() shouldBe 1
        recorded.owners shouldContainExactly listOf(AnswerOwner.EARLIER_REQUEST)
    }

    /** Guards against a log that blames this gateway for the end of a connection that its server closed. */
    @Test
    fun `a connection whose whole answer had arrived when the request was given up is not reported as abandoned`() {
        val backend =
            RawBackend { output, id, _ ->
                write(output, answerBytes(200, "ok", "Request-Id: $id"))
                Thread.sleep(300)
                output.close()
            }
        backend.use {
            runBlocking {
                val stream = connections.open(orderTo(it.address, "request-6"), emptyBody())
                stream.next()
                delay(100.milliseconds)
                stream.cancel()
                delay(500.milliseconds)
            }
        }

        recorded.disconnects().single { it.requestId == "request-6" }.reason shouldBe ConnectionCloseReason.ENDED
    }

    /** Guards against a warning for each request beside a server that answers all of them twice. */
    @Test
    fun `a server that answers each request twice is reported once while it is isolated`() {
        val backend =
            RawBackend { output, id, _ ->
                write(output, answerBytes(200, "ok", "Request-Id: $id"))
                Thread.sleep(20)
                write(output, answerBytes(200, "ok", "Request-Id: $id"))
            }
        backend.use {
            runBlocking {
                for (number in 1..20) {
                    readToEnd(connections.open(orderTo(it.address, "twice-$number"), emptyBody()))
                    delay(60.milliseconds)
                }
            }
        }

        val reported = recorded.events.filterIsInstance<Event.BackendAnswerUnrequested>()
        println("warnings: ${reported.size} of 20 answers")
        reported.size shouldBe 1
    }
}
