package org.acaciaflow.transport.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.transport.direct.RawBackend
import org.acaciaflow.transport.observation.MeteredObservations
import kotlin.time.Duration.Companion.seconds

class EtcdWatchTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against watches that keep their connection after their reader has ended, until none is left. */
    @Test
    fun `a watch gets changes after many others have ended`() =
        runBlocking<Unit> {
            val event = """{"result":{"events":[{"kv":{"key":"YQ==","value":"eA==","mod_revision":"7"}}]}}""" + "\n"
            val server =
                RawBackend { output, _, _ ->
                    write(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    write(output, "${event.length.toString(radix = 16)}\r\n$event\r\n")
                    Thread.sleep(60_000)
                }

            server.use {
                val registry = SimpleMeterRegistry()
                val store = EtcdKeyValueStore(vertx, server.address, registry, MeteredObservations(registry))

                val revisions =
                    List(
                        WATCHES,
                    ) { withTimeoutOrNull(1.seconds) { store.watch(StoreKey("a")).firstOrNull()?.revision } }

                revisions shouldBe List(WATCHES) { 7L }
            }
        }

    private companion object {
        const val WATCHES = 12
    }
}
