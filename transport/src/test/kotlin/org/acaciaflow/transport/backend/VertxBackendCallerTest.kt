package org.acaciaflow.transport.backend

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.port.BackendHealth
import org.acaciaflow.transport.direct.RawBackend
import java.io.OutputStream

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
}
