package org.acaciaflow.transport.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.SwapOutcome
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.transport.direct.answerBytes
import org.acaciaflow.transport.direct.repeatingBackend
import org.acaciaflow.transport.observation.MeteredObservations
import kotlin.io.encoding.Base64
import kotlin.time.Duration.Companion.seconds

class EtcdKeyValueStoreTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val registry = SimpleMeterRegistry()
    private val observations = MeteredObservations(registry)

    @AfterAll
    suspend fun close() {
        vertx.close().coAwait()
    }

    /** Guards against one event that cannot be decoded and holds back the events after it. */
    @Test
    suspend fun `a watch passes on the events beside one that cannot be decoded`() {
        val faulty =
            listOf(
                event("a", value = "no Base64!"),
                event("a", revision = "no number"),
                """{"type":"PUT"}""",
                """{"type":"PUT","kv":{"key":7,"value":{}}}""",
            )
        val lines = faulty.map { """{"result":{"events":[$it,${event("after")}]}}""" } + "no JSON" + "{}"
        val server = serve { lines.joinToString("\n") + "\n" + """{"result":{"events":[${event("last")}]}}""" + "\n" }

        val countBefore = unreadableCount()

        val received = watchedKeys(server, count = 5)

        received shouldBe List(4) { "after" } + "last"
        unreadableCount() - countBefore shouldBe 5.0
    }

    /** Guards against one stored value that cannot be decoded and makes all others of its list unreadable. */
    @Test
    suspend fun `a list holds the values beside one that cannot be decoded`() {
        val server =
            serve { """{"kvs":[${pair("a", value = "no Base64!")},${pair("b", revision = "x")},${pair("c")}]}""" }

        val countBefore = unreadableCount()

        val listed = storeOf(server).list(StoreKey("all"), limit = 10)

        (listed as StoreResult.Success).value.map { it.key.path } shouldBe listOf("c")
        unreadableCount() - countBefore shouldBe 2.0
    }

    /** Guards against a write that counts as done, although the store refused it, after a late copy of an answer. */
    @Test
    suspend fun `a late copy of a write's answer does not answer the next write`() {
        val answers = listOf(written("a", "5"), conflict(), written("c", "6"))
        repeatingBackend(*answers.map { answerBytes(200, it) }.toTypedArray()).use { server ->
            val store = EtcdKeyValueStore(vertx, server.address, registry, observations)

            val swaps = listOf("a", "b", "c").map { store.swap(StoreKey(it), KeyValueStore.ABSENT, VALUE) }

            swaps[0] shouldBe StoreResult.Success(SwapOutcome.Swapped(5))
            swaps[1] shouldBeIn listOf(FOREIGN, StoreResult.Success(SwapOutcome.Conflict(null)))
            swaps[2] shouldBeIn listOf(FOREIGN, StoreResult.Success(SwapOutcome.Swapped(6)))
        }
    }

    /** Guards against a value of another key, or a key that counts as absent, after a late copy of an answer. */
    @Test
    suspend fun `a late copy of another answer does not answer a read`() {
        for (earlier in listOf("""{"kvs":[${pair("a")}]}""", written("a", "5"))) {
            val answers = listOf(earlier, """{"kvs":[${pair("b")}]}""", """{"kvs":[${pair("c")}]}""")
            repeatingBackend(*answers.map { answerBytes(200, it) }.toTypedArray()).use { server ->
                val store = EtcdKeyValueStore(vertx, server.address, registry, observations)
                if ("kvs" in earlier.take(6)) store.read(StoreKey("a")) else store.swap(StoreKey("a"), 0, VALUE)

                for (key in listOf("b", "c").map(::StoreKey)) {
                    val read = store.read(key)

                    val isOwn = read is StoreResult.Success && read.value?.key == key
                    withClue("${key.path}: $read") { (isOwn || read == FOREIGN) shouldBe true }
                }
            }
        }
    }

    private fun written(
        key: String,
        revision: String,
    ): String {
        val range = """{"response_range":{"kvs":[${pair(key, revision = revision)}]}}"""
        return """{"header":{"revision":"$revision"},"succeeded":true,"responses":[{"response_put":{}},$range]}"""
    }

    private fun conflict() = """{"header":{"revision":"5"},"responses":[{"response_range":{}}]}"""

    /** Guards against an answer of any size that is read into memory until the process ends. */
    @Test
    suspend fun `an answer of more bytes than allowed is not read`() {
        val largest = storeOf(serve { "{}".padEnd(MAXIMUM_BYTES) })
        val tooLarge = storeOf(serve { "{}".padEnd(MAXIMUM_BYTES + 1) })

        largest.read(StoreKey("all")) shouldBe StoreResult.Success(null)
        tooLarge.read(StoreKey("all")) shouldBe StoreResult.Failure(StoreFailure.ANSWER_TOO_LARGE)
    }

    private fun unreadableCount(): Double =
        registry.counter("acaciaflow.events", "kind", "stored_value_unreadable").count()

    private fun event(
        key: String,
        value: String = Base64.encode("x".encodeToByteArray()),
        revision: String = "3",
    ) = """{"type":"PUT","kv":${pair(key, value, revision)}}"""

    private fun pair(
        key: String,
        value: String = Base64.encode("x".encodeToByteArray()),
        revision: String = "3",
    ) = """{"key":"${Base64.encode(key.encodeToByteArray())}","value":"$value","mod_revision":"$revision"}"""

    /** Starts a server that answers every call with [body]; the answer to a watch does not end. */
    private suspend fun serve(body: () -> String): HttpServer =
        vertx
            .createHttpServer()
            .requestHandler { request ->
                val response = request.response()
                if (request.path().endsWith("/watch")) {
                    response.setChunked(true).write(body())
                } else {
                    response.end(body())
                }
            }.listen(0, "127.0.0.1")
            .coAwait()

    private suspend fun watchedKeys(
        server: HttpServer,
        count: Int,
    ): List<String> {
        val received = Channel<String>(Channel.UNLIMITED)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        scope.launch { storeOf(server).watch(StoreKey("all")).collect { received.send(it.key.path) } }
        val keys = mutableListOf<String>()
        withTimeoutOrNull(3.seconds) { repeat(count) { keys += received.receive() } }
        scope.cancel()
        return keys
    }

    private fun storeOf(server: HttpServer) =
        EtcdKeyValueStore(
            vertx,
            HostAddress("127.0.0.1", server.actualPort()),
            registry,
            observations,
            MAXIMUM_BYTES,
        )

    private companion object {
        const val MAXIMUM_BYTES = 64 * 1024
        val VALUE = "x".encodeToByteString()
        val FOREIGN = StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
    }
}
