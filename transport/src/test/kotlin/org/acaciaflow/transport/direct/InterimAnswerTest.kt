package org.acaciaflow.transport.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.port.AttemptEvent
import kotlin.time.Duration.Companion.seconds

/** Answers with a status of the 1xx class, which come before the answer itself. */
class InterimAnswerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val connections = createDirectConnections(vertx)

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against an interim answer that is passed on in place of the answer itself. */
    @Test
    fun `the answer after an interim one is the answer to the request`() {
        val interim = listOf("100 Continue", "102 Processing", "103 Early Hints", "110 Other", "199 Other")
        val answers =
            interim.associateWith { status ->
                RawBackend { output, id, _ ->
                    write(output, "HTTP/1.1 $status\r\nRequest-Id: $id\r\n\r\n")
                    Thread.sleep(50)
                    write(output, answerBytes(500, "failed", "Request-Id: $id"))
                }.use { backend -> answerOf(backend, "request-1") }
            }

        println("answers after interim ones: $answers")
        for ((status, answer) in answers) withClue(status) { answer shouldBe (500 to "failed") }
    }

    private fun answerOf(
        backend: RawBackend,
        requestId: String,
    ): Pair<Int?, String> =
        runBlocking {
            val stream = connections.open(orderTo(backend.address, requestId), emptyBody())
            val head = withTimeoutOrNull(2.seconds) { stream.next() } as? AttemptEvent.Head
            val status = head?.head?.status
            status to (if (status == null) "" else readToEnd(stream).first)
        }
}
