package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.net.Socket

/** What a gateway, run in a separate process, logs about connections that servers and callers break. */
class FailedConnectionLogTest : AnnotationSpec() {
    /** Guards against errors of the HTTP client, without a request, for connections that a server closes unanswered. */
    @Test
    fun `a connection that a server closes without an answer is logged with its request, and not as an error`() {
        val log = logOfCalls { listOf(ScriptedServer.END_OF_CONNECTION) }

        log.shouldHaveReasonFor("ended")
    }

    /** Guards against errors of the HTTP client, without a request, for answers that break off in their head. */
    @Test
    fun `an answer that ends inside its head is logged with its request, and not as an error`() {
        val log = logOfCalls { listOf("HTTP/1.1 200 OK\r\nServer-Stamp: x", ScriptedServer.END_OF_CONNECTION) }

        log.shouldHaveReasonFor("answer-malformed")
    }

    /** Guards against errors of the HTTP client, without a request, for answers that can't be decoded. */
    @Test
    fun `a malformed answer is logged with its request, and not as an error`() {
        val log = logOfCalls { listOf("HTTP/1.1 200 OK\r\nHTTP/1.1: x\r\nContent-Length: 2\r\n\r\nok") }

        log.shouldHaveReasonFor("answer-malformed")
    }

    /** Guards against errors of the HTTP server for connections that a caller resets behind an answer. */
    @Test
    fun `a connection that a caller resets after a request is not logged as an error`() {
        errorsOf(logOfResets("POST /claims/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")).shouldBeEmpty()
    }

    /** Guards against errors of the HTTP server for connections that a caller resets inside its first request. */
    @Test
    fun `a connection that a caller resets before its first request is not logged as an error`() {
        errorsOf(logOfResets("POST /claims/x HTTP/1.1\r\nHost: a\r\n")).shouldBeEmpty()
    }

    private fun logOfResets(written: String): List<String> =
        logOfCalls(afterCalls = { repeat(CALLS) { _ -> resetConnection(it, written) } }) { arrival ->
            listOf(answerText(arrival.requestId, OK))
        }

    private fun List<String>.shouldHaveReasonFor(reason: String) {
        val closed = filter { "decision=disconnected" in it && "reason=$reason" in it }
        println("log: ${closed.size} connections closed as $reason, errors ${errorsOf(this).size}")
        errorsOf(this).shouldBeEmpty()
        closed.filter { "request=id-" in it }.size shouldBeGreaterThan CALLS / 2
    }

    private fun errorsOf(log: List<String>): List<String> = log.filter { " ERROR " in it }

    private fun resetConnection(
        gateway: GatewayProcess,
        written: String,
    ) {
        Socket(gateway.ip, gateway.port).use {
            it.setSoLinger(true, 0)
            it.getOutputStream().write(written.toByteArray())
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    private fun logOfCalls(
        afterCalls: (GatewayProcess) -> Unit = {},
        answersOf: (Arrival) -> List<String>,
    ): List<String> {
        val server = ScriptedServer("i-1") { arrival, _ -> answersOf(arrival) }
        val store = StoreServer()
        store.put("op/config", claimsConfiguration("non_idempotent"))
        store.put("servers/${server.instance}", server.entry)
        val gateway = GatewayProcess(store.port)
        try {
            gateway.awaitReady()
            repeat(CALLS) {
                gateway.call("/claims/same", "id-$it")
                Thread.sleep(PAUSE_MILLISECONDS)
            }
            afterCalls(gateway)
            Thread.sleep(LOG_MILLISECONDS)
            return gateway.log().lines()
        } finally {
            gateway.close()
            server.close()
            store.close()
        }
    }

    private companion object {
        const val CALLS = 8
        const val OK = 200
        const val PAUSE_MILLISECONDS = 100L
        const val LOG_MILLISECONDS = 500L
    }
}
