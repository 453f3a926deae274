package org.acaciaflow.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.acaciaflow.standin.fault.Faults
import org.acaciaflow.standin.service.PatternStream
import org.acaciaflow.standin.trial.TrialAnswer
import org.acaciaflow.standin.trial.TrialCall
import org.acaciaflow.standin.trial.TrialCalls
import org.acaciaflow.standin.trial.TrialClient
import kotlin.time.Duration.Companion.seconds

/** Sends caller requests through real gateway and sidecar daemons to stand-in backend servers. */
internal class CallerTrafficTest : SiteSpec() {
    @Test
    suspend fun `an HTTP 1_0 request gets an unchunked answer and the connection is closed`() {
        val answer = RawHttp.exchange(site.gateways[0], "GET /register/old HTTP/1.0\r\n\r\n")

        answer shouldStartWith "HTTP/1.0 200"
        answer shouldContain "\"target\":\"/register/old\""
        answer.lowercase() shouldNotContain "chunked"
    }

    @Test
    suspend fun `a chunked upload arrives complete and header names keep their case in both directions`() {
        val request =
            "POST /register/notes%2Fa?x=1%202 HTTP/1.1\r\nhOST: a\r\nX-oDD: Kept\r\nTransfer-Encoding: chunked\r\n" +
                "Connection: close\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"

        val answer = RawHttp.exchange(site.gateways[0], request)

        answer shouldContain "\"bodyBytes\":11"
        answer shouldContain "X-oDD: Kept"
        answer shouldContain "/register/notes%2Fa?x=1%202"
        answer shouldContain "x-odd-CASE: Kept As Sent"
    }

    @Test
    suspend fun `a caller that expects 100 Continue gets it before it sends its body`() {
        val answers =
            withContext(Dispatchers.IO) {
                RawHttp.open(site.gateways[0]).use { socket ->
                    val head =
                        "POST /register/notes HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n" +
                            "Expect: 100-continue\r\nConnection: close\r\n\r\n"
                    socket.getOutputStream().write(head.encodeToByteArray())
                    val interim = RawHttp.readHead(socket.getInputStream())
                    socket.getOutputStream().write("ok".encodeToByteArray())
                    interim + socket.getInputStream().readBytes().decodeToString()
                }
            }

        answers shouldStartWith "HTTP/1.1 100"
        answers shouldContain "\"bodyBytes\":2"
    }

    @Test
    suspend fun `the answer to HEAD has a content length and no body`() {
        val answer =
            RawHttp.exchange(site.gateways[0], "HEAD /register/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")

        answer shouldStartWith "HTTP/1.1 200"
        answer.lowercase() shouldContain "content-length:"
        answer shouldEndWith "\r\n\r\n"
    }

    @Test
    suspend fun `a call that matches no deployment is refused as not run`() {
        val answer = RawHttp.get(site.gateways[0], "/nowhere")

        answer shouldStartWith "HTTP/1.1 404"
        answer shouldContain "Acaciaflow-Execution: not-run"
    }

    @Test
    suspend fun `a body above the limit is refused with 413`() {
        val size = TestSite.BODY_LIMIT_BYTES + 1
        val head = "POST /register/notes HTTP/1.1\r\nHost: a\r\nContent-Length: $size\r\nConnection: close\r\n\r\n"

        val answer = RawHttp.exchange(site.gateways[0], head + "x".repeat(size.toInt()))

        answer shouldStartWith "HTTP/1.1 413"
    }

    @Test
    suspend fun `a long upload reaches the service complete`() {
        val body = "y".repeat(LONG_BODY)
        val head = "POST /register/notes HTTP/1.1\r\nHost: a\r\nContent-Length: $LONG_BODY\r\nConnection: close\r\n\r\n"

        val answer = RawHttp.exchange(site.gateways[0], head + body)

        answer shouldContain "\"bodyBytes\":$LONG_BODY"
    }

    @Test
    suspend fun `a slow caller does not delay other callers`() {
        withContext(Dispatchers.IO) {
            RawHttp.open(site.gateways[0]).use { slow ->
                val head = "GET /register/download/$DOWNLOAD_BYTES HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                slow.getOutputStream().write(head.encodeToByteArray())
                RawHttp.readHead(slow.getInputStream())

                val others = (1..20).map { RawHttp.get(site.gateways[0], "/register/fast$it") }
                val body = slow.getInputStream().readBytes()

                others.forEach { it shouldStartWith "HTTP/1.1 200" }
                body.size shouldBe DOWNLOAD_BYTES
                body.indices.all { body[it] == PatternStream.byteAt(it.toLong()) } shouldBe true
            }
        }
    }

    @Test
    suspend fun `concurrent calls through both gateways each get their own complete answer`() {
        val client = TrialClient(site.vertx)

        val faults = concurrently(client, rounds = 12).mapNotNull { it.fault }

        faults.shouldBeEmpty()
    }

    @Test
    suspend fun `delayed answers that arrive out of order reach the right callers`() {
        val client = TrialClient(site.vertx)
        site.service.faults.set(Faults(delaySpreadMilliseconds = 300))

        val answers =
            coroutineScope {
                (1..60)
                    .map {
                        async {
                            client.send(
                                site.gateways[it % 2],
                                TrialCalls.lookup("delayed-$it"),
                            )
                        }
                    }.awaitAll()
            }
        site.service.faults.set(Faults())

        answers.mapNotNull { it.fault }.shouldBeEmpty()
    }

    @Test
    suspend fun `streams that an engine cuts off half way are resumed without loss or repetition`() {
        val client = TrialClient(site.vertx)
        site.engines.values.forEach { it.faults.set(Faults(answersToTruncate = 6)) }

        val faults = concurrently(client, rounds = 4).mapNotNull { it.fault }

        faults.shouldBeEmpty()
    }

    @Test
    suspend fun `a request whose caller disconnects is cancelled on the engine`() {
        val body = """{"model":"loom-sett","prompt":"long","max_tokens":100000,"stream":true}"""

        withContext(Dispatchers.IO) {
            RawHttp.open(site.gateways[0]).use { socket ->
                socket.getOutputStream().write(post("/v1/completions", body).encodeToByteArray())
                RawHttp.readHead(socket.getInputStream())
            }
        }

        eventually(30.seconds) { site.engines.values.sumOf { it.running } shouldBe 0 }
    }

    @Test
    suspend fun `a filing whose caller disconnects runs to completion and its resend gets the answer`() {
        val client = TrialClient(site.vertx)
        site.service.faults.set(Faults(delayMilliseconds = 400))

        withContext(Dispatchers.IO) {
            RawHttp.open(site.gateways[0]).use { socket ->
                val head = "POST /register/claims HTTP/1.1\r\nHost: a\r\nX-Claim: left\r\nContent-Length: 15\r\n\r\n"
                socket.getOutputStream().write((head + "pattern of left").encodeToByteArray())
                delay(200)
            }
        }
        val resend = client.send(site.gateways[1], TrialCalls.filing("left"))
        site.service.faults.set(Faults())

        resend.fault shouldBe null
    }

    @Test
    suspend fun `a filing whose answer is lost is reported as unknown and never runs again`() {
        val client = TrialClient(site.vertx)
        site.service.faults.set(Faults(answersToLose = 1))
        val filing = TrialCalls.filing("lost-claim")

        val first = client.send(site.gateways[0], filing)
        val resend = client.send(site.gateways[1], filing)
        val executions = RawHttp.get(site.serviceAddress, "/standin/executions")

        first.status shouldBe 504
        resend.status shouldBe 503
        resend.body shouldContain "earlier-outcome-unknown"
        executions shouldContain "\"lost-claim\":1"
    }

    @Test
    suspend fun `a filing while the store is down is refused and has not run`() {
        val client = TrialClient(site.vertx)
        site.store.faults.set(Faults(down = true))

        val answer = client.send(site.gateways[0], TrialCalls.filing("store-down-claim"))
        site.store.faults.set(Faults())
        val executions = RawHttp.get(site.serviceAddress, "/standin/executions")

        answer.status shouldBe 503
        answer.body shouldContain "this-call-not-run"
        executions shouldNotContain "store-down-claim"
    }

    private fun post(
        target: String,
        body: String,
    ): String = "POST $target HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private suspend fun concurrently(
        client: TrialClient,
        rounds: Int,
    ): List<TrialAnswer> =
        coroutineScope {
            (1..rounds)
                .flatMap { round -> modelCalls("r$round") }
                .mapIndexed { index, call -> async { client.send(site.gateways[index % 2], call) } }
                .awaitAll()
        }

    private fun modelCalls(salt: String): List<TrialCall> =
        TrialCalls.repeatable(salt).filter { "loom" in it.body.orEmpty() }

    private companion object {
        const val LONG_BODY = 5_000_000
        const val DOWNLOAD_BYTES = 4_000_000
    }
}
