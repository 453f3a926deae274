package org.acaciaflow.transport.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Connections whose answers are given up before they are read. */
class AbandonedAnswerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val connections = createDirectConnections(vertx)

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against a connection that stays paused when its answer is given up, and holds its next request. */
    @Test
    fun `a connection whose answer was given up unread serves the next request`() {
        val results =
            listOf(2_000, 20_000, 60_000, 120_000, 500_000).associateWith { size ->
                RawBackend { output, id, _ -> write(output, answerBytes(200, "x".repeat(size), "Request-Id: $id")) }
                    .use { backend ->
                        runBlocking {
                            val given = connections.open(orderTo(backend.address, "given-up"), emptyBody())
                            given.next()
                            delay(200.milliseconds)
                            given.cancel()
                            delay(50.milliseconds)
                            withTimeoutOrNull(2.seconds) {
                                readToEnd(connections.open(orderTo(backend.address, "next"), emptyBody())).first.length
                            }
                        }
                    }
            }

        println("sizes: $results")
        for ((size, read) in results) withClue(size) { read shouldBe size }
    }
}
