package org.acaciaflow.transport.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.acaciaflow.coordination.connection.AnswerContradiction
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.DoubtedForms
import org.acaciaflow.coordination.connection.SecondAnswerForms
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.state.refusal.MayHaveRun
import java.io.OutputStream
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Successes of servers that were never seen to answer twice, with the form of second answers of another server. */
class SecondAnswerFormTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val recorded = RecordedConnections()

    @BeforeEach
    fun forget() = recorded.clear()

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against a success for a run whose failure comes later, from a server that nobody saw answer twice. */
    @Test
    fun `the failure behind a success with the form of second answers is passed on`() {
        for (method in listOf("GET", "POST")) {
            val answer =
                afterLearning(method) { output, id ->
                    write(output, bare(id))
                    Thread.sleep(300)
                    write(output, failed(id))
                }

            withClue(method) { answer shouldBe Answer(500, "failed", AttemptEvent.End) }
        }
        recorded.contradictions().map { it.contradiction }.toSet() shouldBe
            setOf(AnswerContradiction.SECOND_ANSWER_FORM)
        recorded.contradictionEvents().size shouldBe 2
    }

    /** Guards against a true success that is lost because a second answer came before it. */
    @Test
    fun `the true success behind one with the form of second answers is passed on`() {
        val shapes =
            mapOf(
                "two reads" to listOf("bare", "full"),
                "two second answers" to listOf("bare", "bare", "full"),
                "chunks" to listOf("chunked", "full"),
            )
        for ((name, parts) in shapes) {
            val answer =
                afterLearning { output, id ->
                    for (part in parts) {
                        write(output, mapOf("bare" to bare(id), "full" to full(id), "chunked" to chunked(id))[part]!!)
                        Thread.sleep(20)
                    }
                }
            withClue(name) { answer shouldBe Answer(200, "body of request", AttemptEvent.End) }
        }
        afterLearning { output, id -> write(output, bare(id) + full(id)) } shouldBe
            Answer(200, "body of request", AttemptEvent.End)
    }

    /** Guards against a success in place of a failure that never arrives. */
    @Test
    fun `a lone success with the form of second answers is not believed`() {
        val scripts =
            mapOf<String, RawBackend.(OutputStream, String) -> Unit>(
                "silent" to { output, id -> write(output, bare(id)) },
                "closed" to { output, id ->
                    write(output, bare(id))
                    output.close()
                },
                "reset" to { output, id ->
                    write(output, bare(id))
                    Thread.sleep(30)
                    resetConnections()
                },
                "half" to { output, id -> write(output, bare(id).dropLast(1)) },
                "no length" to { output, id -> write(output, BARE.format(id) + "\r\nof its own") },
            )
        for ((name, script) in scripts) {
            val (answer, time) = measureTimedValue { afterLearning("POST", 200.milliseconds, script) }

            println("$name: $answer after $time")
            withClue(name) { answer shouldBe CONTRADICTED }
            val reason = closeReasonOf("request")
            val isClosedHere = name != "closed" && name != "reset"
            if (isClosedHere) withClue(name) { reason shouldBe ConnectionCloseReason.ANSWER_CONTRADICTED }
            recorded.clear()
        }
    }

    /** Guards against a call that runs twice because its server refused it after an answer. */
    @Test
    fun `a refusal behind a success that was not believed is not believed`() {
        afterLearning { output, id -> write(output, bare(id) + answerBytes(503, "", "Request-Id: $id")) } shouldBe
            CONTRADICTED
    }

    /** Guards against a break that is put down to a second answer although the true answer had begun. */
    @Test
    fun `a true answer that breaks off behind a doubted one is a crash`() {
        val answer =
            afterLearning { output, id ->
                write(output, bare(id) + full(id).dropLast(2))
                output.close()
            }

        answer.end shouldBe AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)
    }

    /** Guards against a server of a new version that loses all its successes since they have the form of second answers. */
    @Test
    fun `a server whose answers all have the form of second answers is believed after some`() {
        RawBackend { output, id, _ -> write(output, bare(id)) }.use { backend ->
            runBlocking {
                val (connections, learning) = learned(hold = 30.milliseconds)
                learning.use {
                    val answers = List(30) { read(connections, backend, "request-$it").status }

                    println("successes of a new version: ${answers.count { it == 200 }} of 30")
                    answers.drop(DoubtedForms.SUFFICIENT).toSet() shouldBe setOf(200)
                }
            }
        }
    }

    /** Guards against sound pools whose true answers have the form of second answers elsewhere. */
    @Test
    fun `true answers are passed on where they have the form of second answers`() {
        RawBackend { output, id, _ -> write(output, bare(id)) }.use { backend ->
            runBlocking {
                val (connections, learning) = learned()
                learning.use {
                    val answers = List(40) { read(connections, backend, "request-$it", "PUT").status }

                    answers shouldBe List(40) { 200 }
                    recorded.contradictions().size shouldBe 0
                }
            }
        }
    }

    /** Guards against a gateway that has just started and believes nothing. */
    @Test
    fun `a gateway that has just started passes all successes on`() {
        val scripts = listOf<(String) -> String>({ bare(it) }, { if (it.hashCode() % 2 == 0) bare(it) else full(it) })
        for (script in scripts) {
            RawBackend { output, id, _ -> write(output, script(id)) }.use { backend ->
                runBlocking {
                    val connections = createDirectConnections(vertx, ConnectionObserver(recorded))
                    List(40) { read(connections, backend, "request-$it").status } shouldBe List(40) { 200 }
                }
            }
        }
    }

    /** Guards against true answers that are late because their isolated server is waited for. */
    @Test
    fun `a success that can be told from the second answers of its server is not held`() {
        runBlocking {
            val (connections, learning) = learned(hold = LONG)
            learning.use {
                val (answer, time) = measureTimedValue { read(connections, learning, "request") }

                println("recognisable: $time")
                answer shouldBe Answer(200, "body of request", AttemptEvent.End)
                time shouldBeLessThan LONG / 2
            }
        }
    }

    /** Guards against the first wrong success of all, before any gateway has seen a second answer. */
    @Test
    fun `a success of unusual form that a failure follows is not believed before any second answer is known`() {
        for (method in listOf("GET", "POST")) {
            val answer =
                afterUsual(method) { output, id ->
                    write(output, bare(id))
                    Thread.sleep(100)
                    write(output, failed(id))
                }

            withClue(method) { answer.end shouldBe AttemptEvent.Broken(MayHaveRun.ANSWER_CONTRADICTED) }
        }
    }

    /** Guards against true successes that are lost because their form is new. */
    @Test
    fun `a success of unusual form that nothing contradicts is passed on`() {
        afterUsual(hold = 100.milliseconds) { output, id -> write(output, bare(id)) } shouldBe
            Answer(200, "of its own", AttemptEvent.End)
        afterUsual { output, id ->
            write(output, answerBytes(200, "of its own", "Server-Stamp: a", "Request-Id: $id", "Connection: close"))
            output.close()
        } shouldBe Answer(200, "of its own", AttemptEvent.End)
    }

    /** Guards against the first wrong success of all, where the failure is lost with its connection. */
    @Test
    fun `a success of unusual form whose connection ends unannounced is not believed`() {
        for (method in listOf("GET", "POST")) {
            val answer =
                afterUsual(method) { output, id ->
                    write(output, bare(id))
                    output.close()
                }

            withClue(method) { answer.end shouldBe AttemptEvent.Broken(MayHaveRun.ANSWER_CONTRADICTED) }
        }
    }

    /** Guards against callers that wait at each answer of a form which is new. */
    @Test
    fun `a form that was passed on often is not held`() {
        RawBackend {
            output,
            id,
            _,
            ->
            write(output, if (id.startsWith("true")) full(id) else bare(id))
        }.use { backend ->
            runBlocking {
                val connections = createDirectConnections(vertx, ConnectionObserver(recorded), answerHold = SHORT)
                repeat(SecondAnswerForms.USUAL_COUNT) { read(connections, backend, "true-$it") }
                repeat(SecondAnswerForms.USUAL_COUNT) { read(connections, backend, "new-$it") }
                val times = List(10) { measureTimedValue { read(connections, backend, "later-$it") }.duration }

                println("a form that was new: $times")
                times.min() shouldBeLessThan SHORT / 2
            }
        }
    }

    /** Returns what a request gets whose server answers by [script]; usual answers are known, second ones are not. */
    private fun afterUsual(
        method: String = "POST",
        hold: Duration = LONG,
        script: RawBackend.(OutputStream, String) -> Unit,
    ): Answer =
        RawBackend { output, id, _ ->
            if (id ==
                "request"
            ) {
                script(output, id)
            } else {
                write(output, full(id))
            }
        }.use { backend ->
            runBlocking {
                val connections = createDirectConnections(vertx, ConnectionObserver(recorded), answerHold = hold)
                repeat(SecondAnswerForms.USUAL_COUNT) { read(connections, backend, "true-$it", method) }
                read(connections, backend, "request", method)
            }
        }

    /** Guards against a usual success that is passed on before its failure, once at each server that answers twice. */
    @Test
    fun `a usual success before its failure is not believed once another server wrote one`() {
        RawBackend { output, id, _ ->
            write(output, if (id == "doubled") full(id) + bare(id) else full(id))
            if (id == "failed") {
                Thread.sleep(50)
                write(output, failed(id))
            }
        }.use { backend ->
            runBlocking {
                val (connections, learning) = learned()
                learning.use {
                    RawBackend { output, id, _ -> write(output, full(id) + failed(id)) }.use { other ->
                        read(connections, other, "other")
                        withTimeout(2.seconds) { while (connections.isolatedServers != 2) delay(5.milliseconds) }
                    }
                    read(connections, backend, "doubled")
                    withTimeout(2.seconds) { while (connections.isolatedServers != 3) delay(5.milliseconds) }

                    read(connections, backend, "failed").end shouldBe
                        AttemptEvent.Broken(MayHaveRun.ANSWER_CONTRADICTED)
                }
            }
        }
    }

    /** Returns what a request gets whose server, which nobody saw answer twice, answers by [script]. */
    private fun afterLearning(
        method: String = "POST",
        hold: Duration = LONG,
        script: RawBackend.(OutputStream, String) -> Unit,
    ): Answer =
        RawBackend { output, id, _ -> script(output, id) }.use { backend ->
            runBlocking {
                val (connections, learning) = learned(method, hold)
                learning.use { read(connections, backend, "request", method) }
            }
        }

    /** Connections that got true answers of one form, and a second answer of another one, from the server returned. */
    private suspend fun learned(
        method: String = "POST",
        hold: Duration = LONG,
    ): Pair<DirectConnections, RawBackend> {
        val learning =
            RawBackend { output, id, _ -> write(output, if (id == "doubled") full(id) + bare(id) else full(id)) }
        val connections = createDirectConnections(vertx, ConnectionObserver(recorded), answerHold = hold)
        repeat(SecondAnswerForms.USUAL_COUNT) { read(connections, learning, "true-$it", method).status shouldBe 200 }
        read(connections, learning, "doubled", method).status shouldBe 200
        withTimeout(2.seconds) { while (connections.isolatedServers != 1) delay(5.milliseconds) }
        return connections to learning
    }

    /** Awaits the end of the connection that carried [requestId] last. */
    private fun closeReasonOf(requestId: String): ConnectionCloseReason =
        runBlocking {
            withTimeout(2.seconds) {
                while (recorded.disconnects().none { it.requestId == requestId }) delay(5.milliseconds)
            }
            recorded.disconnects().single { it.requestId == requestId }.reason
        }

    private suspend fun read(
        connections: DirectConnections,
        backend: RawBackend,
        id: String,
        method: String = "POST",
    ): Answer =
        withTimeout(5.seconds) {
            val order = orderTo(backend.address, id, method).copy(deadline = Clock.System.now() + 20.seconds)
            val stream = connections.open(order, emptyBody())
            try {
                when (val first = stream.next()) {
                    is AttemptEvent.Head -> {
                        val (body, end) = readToEnd(stream)
                        Answer(first.head.status, body, end)
                    }

                    else -> {
                        Answer(status = null, body = "", first)
                    }
                }
            } finally {
                stream.cancel()
            }
        }

    private fun full(id: String): String =
        answerBytes(200, "body of $id", "Server-Stamp: a", "Content-Type: text/plain", "Request-Id: $id")

    private fun bare(id: String): String = answerBytes(200, "of its own", "Server-Stamp: a", "Request-Id: $id")

    private fun chunked(id: String): String = BARE.format(id) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"

    private fun failed(id: String): String = answerBytes(500, "failed", "Server-Stamp: a", "Request-Id: $id")

    private data class Answer(
        val status: Int?,
        val body: String,
        val end: AttemptEvent,
    )

    private companion object {
        const val BARE = "HTTP/1.1 200 Status\r\nServer-Stamp: a\r\nRequest-Id: %s\r\n"
        val LONG = 2.seconds
        val SHORT = 300.milliseconds
        val CONTRADICTED = Answer(null, "", AttemptEvent.Broken(MayHaveRun.ANSWER_CONTRADICTED))
    }
}
