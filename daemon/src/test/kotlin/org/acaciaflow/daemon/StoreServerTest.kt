package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture

/** Checks the stand-in of the store: a return to an older copy, and what it tells of it. */
class StoreServerTest : AnnotationSpec() {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private lateinit var store: StoreServer

    @BeforeEach
    fun start() {
        store = StoreServer(tellsEra = true, takesWrites = true)
        store.put("op/config", "first")
    }

    @AfterEach
    fun stop() = store.close()

    @Test
    fun `revisions go back at a return and are given out again`() {
        val copy = store.copy()
        store.put("op/config", "second")
        val lost = store.copy()

        store.returnTo(copy)
        store.put("servers/i-first", "other")

        store.copy().revision shouldBe lost.revision
        get("/-/kv-watch?prefix=&after=${copy.revision}&wait_ms=0").body().let {
            it shouldContain "servers/i-first"
            it shouldNotContain "op/config"
        }
    }

    @Test
    fun `a watch from a revision that the store does not have gets 410`() {
        val copy = store.copy()
        store.put("op/config", "second")
        val place = store.copy().revision
        store.returnTo(copy)

        get("/-/kv-watch?prefix=&after=$place&wait_ms=0").statusCode() shouldBe 410
    }

    @Test
    fun `a watch that waits gets no answer at a return`() {
        val waiting = watchInBackground()
        Thread.sleep(PAUSE_MILLISECONDS)

        store.returnTo(store.copy())

        waiting.handle { _, fault -> fault?.cause is IOException }.get() shouldBe true
    }

    @Test
    fun `a watch that waits gets no answer when the store is cut off, and hears nothing before its end`() {
        val waiting = watchInBackground()
        Thread.sleep(PAUSE_MILLISECONDS)

        store.cutOffDuring {
            store.put("op/config", "second")
            Thread.sleep(PAUSE_MILLISECONDS)
            waiting.isDone shouldBe false
        }

        waiting.handle { _, fault -> fault?.cause is IOException }.get() shouldBe true
        get("/-/kv-key?key=op/config").statusCode() shouldBe 200
    }

    @Test
    fun `all answers have the era, which rises by one at each return`() {
        val calls = listOf("/-/kv-range?prefix=", "/-/kv-key?key=none", "/-/kv-watch?prefix=&after=99&wait_ms=0")
        calls.map { eraOf(get(it)) } shouldBe listOf("1", "1", "1")

        store.returnTo(store.copy())
        store.returnTo(store.copy())

        calls.map { eraOf(get(it)) } shouldBe listOf("3", "3", "3")
        eraOf(post("/-/kv-keep/7")) shouldBe "3"
    }

    @Test
    fun `a store without eras does not name one`() {
        StoreServer().use { older ->
            older.returnTo(older.copy())
            eraOf(get("/-/kv-range?prefix=", older)) shouldBe null
        }
    }

    @Test
    fun `leases that were granted since the copy are gone with their keys`() {
        val copy = store.copy()
        post("/-/kv-lease", """{"ttl_ms":15000}""").body() shouldContain "\"lease\":1,"
        write("acaciaflow/own", expected = 0).statusCode() shouldBe 200
        post("/-/kv-keep/1").statusCode() shouldBe 200

        store.returnTo(copy)

        post("/-/kv-keep/1").statusCode() shouldBe 404
        get("/-/kv-key?key=acaciaflow/own").statusCode() shouldBe 404
        write("acaciaflow/own", expected = 0).statusCode() shouldBe 404
    }

    @Test
    fun `a write whose condition does not hold gets the current items`() {
        post("/-/kv-lease", """{"ttl_ms":15000}""")
        write("acaciaflow/own", expected = 0)

        val answer = write("acaciaflow/own", expected = 0)

        answer.statusCode() shouldBe 412
        answer.body() shouldContain "\"key\":\"acaciaflow/own\""
        write("servers/i-first", expected = 0).statusCode() shouldBe 403
    }

    /** Watches by a POST, which the client does not repeat. */
    private fun watchInBackground(): CompletableFuture<HttpResponse<String>> =
        client.sendAsync(
            request("/-/kv-watch?prefix=&after=${store.copy().revision}&wait_ms=5000")
                .POST(HttpRequest.BodyPublishers.noBody())
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    private fun write(
        key: String,
        expected: Long,
    ): HttpResponse<String> =
        post(
            "/-/kv-txn",
            """{"expected":[{"key":"$key","revision":$expected}],""" +
                """"writes":[{"key":"$key","value":"QQ==","lease":1}],"remove":[]}""",
        )

    private fun get(
        target: String,
        from: StoreServer = store,
    ): HttpResponse<String> = client.send(request(target, from).build(), HttpResponse.BodyHandlers.ofString())

    private fun post(
        target: String,
        body: String = "",
    ): HttpResponse<String> {
        val request = request(target).POST(HttpRequest.BodyPublishers.ofString(body)).build()
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun request(
        target: String,
        from: StoreServer = store,
    ): HttpRequest.Builder = HttpRequest.newBuilder(URI("http://127.0.0.1:${from.port}$target"))

    private fun eraOf(answer: HttpResponse<String>): String? = answer.headers().firstValue("Store-Era").orElse(null)

    private companion object {
        const val PAUSE_MILLISECONDS = 200L
    }
}
