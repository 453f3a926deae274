package org.acaciaflow.transport.weights

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.coordination.port.WeightLoad
import org.acaciaflow.transport.direct.repeatingBackend

class HttpWeightStoreTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()

    @AfterAll
    suspend fun close() {
        vertx.close().coAwait()
    }

    /** Guards against a load that counts as granted, although the store refused it, after a late copy of an answer. */
    @Test
    suspend fun `a late copy of an answer does not answer the next request for a load`() {
        repeatingBackend(head(200), head(404), head(503)).use { server ->
            val store = HttpWeightStore(vertx, server.address)

            val loads = listOf("1", "2", "3").map { store.requestLoad("m", it) }

            loads shouldBe listOf(WeightLoad.Granted(10), WeightLoad.UnknownModel, WeightLoad.Unreachable)
        }
    }

    private fun head(status: Int) = "HTTP/1.1 $status Status\r\nContent-Length: 10\r\n\r\n"
}
