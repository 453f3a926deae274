package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

/** Runs a gateway in a separate process before backend servers that write an earlier refusal once more. */
class RepeatedRefusalTest : AnnotationSpec() {
    /** Guards against callers that are told "not run" though a server ran their request, or two servers did. */
    @Test
    fun `an earlier refusal before the true answer is no promise and starts no second run`() {
        val refusals =
            mapOf("no id" to "", "an empty id" to "Request-Id:\r\n", "an earlier id" to "Request-Id: earlier\r\n")
        for ((name, fields) in refusals) {
            withClue("refusals with $name") { playCalls(fields) }
        }
    }

    private fun playCalls(refusalFields: String) {
        val servers =
            listOf("i-first", "i-second").map { instance ->
                ScriptedServer(instance) { arrival, _ ->
                    listOf(
                        refusal(refusalFields) + answerText(arrival.requestId, 200),
                    )
                }
            }
        val store = StoreServer()
        store.put("op/config", CONFIGURATION)
        servers.forEach { store.put("servers/${it.instance}", it.entry) }
        val gateway = GatewayProcess(store.port)
        try {
            gateway.awaitReady()

            val statuses = List(CALLS) { gateway.call("/claims/$it", "id-$it") }

            val runs = servers.flatMap { it.executed }.groupingBy { it }.eachCount()
            println("refusals '${refusalFields.trim()}': statuses $statuses, runs ${runs.values}")
            statuses shouldNotContain SERVICE_UNAVAILABLE
            runs.values.max() shouldBeLessThanOrEqual 1
        } finally {
            gateway.close()
            servers.forEach { it.close() }
            store.close()
        }
    }

    private fun refusal(fields: String): String =
        "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n${fields}Content-Length: 0\r\n\r\n"

    private companion object {
        const val CALLS = 24
        const val SERVICE_UNAVAILABLE = 503
        val CONFIGURATION = claimsConfiguration("non_idempotent")
    }
}
