package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
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

    private fun logOfCalls(): List<String> {
        val server =
            ScriptedServer("i-1") { arrival, _ ->
                List(2) { answerText(arrival.requestId, OK, "") }
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
    }
}
