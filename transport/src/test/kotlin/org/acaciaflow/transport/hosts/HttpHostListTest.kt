package org.acaciaflow.transport.hosts

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.transport.direct.answerBytes
import org.acaciaflow.transport.direct.repeatingBackend
import org.acaciaflow.transport.observation.MeteredObservations

class HttpHostListTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val registry = SimpleMeterRegistry()
    private val observations = MeteredObservations(registry)

    @AfterAll
    suspend fun close() {
        vertx.close().coAwait()
    }

    /** Guards against one faulty host that makes the whole list unreadable, so that all later changes are missed. */
    @Test
    suspend fun `hosts beside a faulty one are read`() {
        val faulty =
            listOf(
                """{"sidecar":"10.0.0.1:7000"}""",
                """{"sidecar":7,"dataCentre":{}}""",
                """{"sidecar":"nowhere","dataCentre":"north"}""",
                """{"sidecar":"10.0.0.1:7000","dataCentre":"north","leaving":"perhaps"}""",
                "null",
                "17",
            )

        val hosts =
            read(200, """{"hosts":[${faulty.joinToString()},{"sidecar":"10.0.0.2:7000","dataCentre":"north"}]}""")

        hosts shouldBe listOf(ListedHost(HostAddress("10.0.0.2", 7000), DataCentre("north"), leaving = false))
        registry.counter("acaciaflow.events", "kind", "hosts_unreadable").count() shouldBe 1.0
    }

    /** Guards against an error of the platform that is taken for an empty list, so that all links are given up. */
    @Test
    suspend fun `an answer with another status than 200 is no list`() {
        listOf(204, 404, 500, 503).map { read(it, """{"hosts":[]}""") } shouldBe List(4) { null }
    }

    /** Guards against links to hosts that have gone, after a late copy of an earlier list. */
    @Test
    suspend fun `a late copy of a list does not answer the next read`() {
        val lists = (1..3).map { """{"hosts":[{"sidecar":"10.0.0.$it:7000","dataCentre":"north"}]}""" }
        repeatingBackend(*lists.map { answerBytes(200, it) }.toTypedArray()).use { server ->
            val list = HttpHostList(vertx, server.address, observations)

            val hosts = List(3) { list.read()?.map { host -> host.sidecar.ip } }

            hosts shouldBe listOf(listOf("10.0.0.1"), listOf("10.0.0.2"), listOf("10.0.0.3"))
        }
    }

    /** Guards against an answer of any size that is read into memory until the process ends. */
    @Test
    suspend fun `an answer of more bytes than allowed is no list`() {
        read(200, """{"hosts":[]}""".padEnd(MAXIMUM_BYTES)) shouldBe emptyList()
        read(200, """{"hosts":[]}""".padEnd(MAXIMUM_BYTES + 1)) shouldBe null
    }

    private suspend fun read(
        status: Int,
        body: String,
    ): List<ListedHost>? {
        val server =
            vertx
                .createHttpServer()
                .requestHandler { it.response().setStatusCode(status).end(body) }
                .listen(0, "127.0.0.1")
                .coAwait()
        val address = HostAddress("127.0.0.1", server.actualPort())
        val hosts = HttpHostList(vertx, address, observations, MAXIMUM_BYTES).read()
        server.close().coAwait()
        return hosts
    }

    private companion object {
        const val MAXIMUM_BYTES = 64 * 1024
    }
}
