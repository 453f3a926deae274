package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe

/** Runs a gateway in a separate process before servers whose late answers can't be skipped. */
class LateAnswerGatewayTest : AnnotationSpec() {
    /** Guards against sound requests that are refused because late answers were taken for crashes. */
    @Test
    fun `late answers that can't be skipped put no request into quarantine`() {
        val results = play("idempotent", servers = 2, "Transfer-Encoding: chunked\r\n\r\nno size\r\n")

        println("quarantine: statuses ${results.statuses}, AF1603 ${results.quarantines}")
        results.quarantines shouldBe 0
    }

    /** Guards against callers that wait for their time limit because a late answer swallowed the true one. */
    @Test
    fun `a late answer without a known end does not hold its caller`() {
        val framings = mapOf("without length" to "\r\nlate", "truncated" to "Content-Length: 5000\r\n\r\nlate")
        val results = framings.mapValues { (_, framing) -> play("non_idempotent", servers = 1, framing) }

        for ((name, result) in results) println("held $name: ${result.statuses}, longest ${result.longest} ms")
        for ((name, result) in results) withClue(name) { result.statuses.keys shouldNotContain GATEWAY_TIMEOUT }
    }

    private fun play(
        kind: String,
        servers: Int,
        lateFraming: String,
    ): Results {
        val running =
            List(servers) { number ->
                ScriptedServer("i-$number") { arrival, earlier ->
                    val late =
                        earlier.lastOrNull()?.let {
                            "HTTP/1.1 200 OK\r\nRequest-Id: ${it.requestId}\r\n$lateFraming"
                        }
                    listOf(late.orEmpty() + answerText(arrival.requestId, 200, ""))
                }
            }
        val store = StoreServer()
        store.put("op/config", claimsConfiguration(kind))
        running.forEach { store.put("servers/${it.instance}", it.entry) }
        val gateway = GatewayProcess(store.port)
        try {
            gateway.awaitReady()
            var longest = 0L
            val statuses =
                List(CALLS) {
                    val start = System.nanoTime()
                    gateway.call("/claims/same", "id-$it").also {
                        longest = maxOf(longest, (System.nanoTime() - start) / 1_000_000)
                    }
                }
            val log = gateway.log()
            return Results(
                statuses.groupingBy { it }.eachCount(),
                log.lines().count { "AF1603" in it },
                longest,
            )
        } finally {
            gateway.close()
            running.forEach { it.close() }
            store.close()
        }
    }

    private class Results(
        val statuses: Map<Int, Int>,
        val quarantines: Int,
        val longest: Long,
    )

    private companion object {
        const val CALLS = 16
        const val GATEWAY_TIMEOUT = 504
    }
}
