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
        val servers = listOf("i-first", "i-second").map { RepeatedRefusalServer(it, refusalFields) }
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

    private companion object {
        const val CALLS = 24
        const val SERVICE_UNAVAILABLE = 503
        const val CONFIGURATION =
            """{"version":1,"routes":[{"name":"claims","host":"127.0.0.1","prefix":"/claims/",""" +
                """"kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":200,"priority":1,""" +
                """"service":"register","max_attempts":2,"sticky":false,"resumable":false}],""" +
                """"services":[{"name":"register","health_path":"/healthz","max_conns":110,"protocol":"h1",""" +
                """"tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,""" +
                """"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
    }
}
