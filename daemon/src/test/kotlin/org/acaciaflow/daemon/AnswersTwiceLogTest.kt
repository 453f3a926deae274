package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/** What a gateway, run in a separate process, logs before a server that answers each request twice. */
class AnswersTwiceLogTest : AnnotationSpec() {
    /** Guards against a log that a server which answers each request twice fills with warnings and errors. */
    @Test
    fun `second answers cost one warning while their server is isolated, and no error`() {
        val log = logOfCalls()

        val warnings = log.count { "AF1217" in it }
        val errors = log.count { " ERROR " in it }
        println("log: AF1217 $warnings, errors $errors for $CALLS calls")
        warnings shouldBe 1
        errors shouldBe 0
    }

    /** Guards against lines that a reader who selects by time or level misses, such as those of the HTTP client. */
    @Test
    fun `each line of the log has a time and a level of its own`() {
        val (structured, others) = logOfCalls().filter { it.isNotBlank() }.partition { STRUCTURED.containsMatchIn(it) }

        println("log: ${structured.size} lines with time and level, ${others.size} others: ${others.take(2)}")
        others.shouldBeEmpty()
    }

    /** Guards against errors of the HTTP client for connections that the gateway itself closes instead of using them. */
    @Test
    fun `a connection that an isolated server may not use again is closed without an error`() {
        val log = logOfCalls { arrival -> if (arrival.requestId == "id-0") 2 else 1 }

        val closed = log.count { "reason=server-isolated" in it }
        val errors = log.filter { " ERROR " in it }
        println("log: $closed connections closed for isolation, errors ${errors.size}: ${errors.take(1)}")
        closed shouldBeGreaterThan CALLS / 2
        errors.shouldBeEmpty()
    }

    private fun logOfCalls(answersOf: (Arrival) -> Int = { 2 }): List<String> {
        val server =
            ScriptedServer("i-1") { arrival, _ ->
                List(answersOf(arrival)) { answerText(arrival.requestId, OK, "") }
            }
        val store = StoreServer()
        store.put("op/config", claimsConfiguration("idempotent"))
        store.put("servers/${server.instance}", server.entry)
        val gateway = GatewayProcess(store.port)
        try {
            gateway.awaitReady()
            repeat(CALLS) {
                gateway.call("/claims/same", "id-$it") shouldBe OK
                Thread.sleep(PAUSE_MILLISECONDS)
            }
            return gateway.log().lines()
        } finally {
            gateway.close()
            server.close()
            store.close()
        }
    }

    private companion object {
        const val CALLS = 16
        const val OK = 200
        const val PAUSE_MILLISECONDS = 200L
        val STRUCTURED = Regex("^\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3} (INFO|WARN|ERROR) ")
    }
}
