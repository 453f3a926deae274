package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap

/**
 * Runs gateways in separate processes before servers that answer a failing run twice, a success of its own first.
 *
 * Only the first server was seen to answer twice before. The heads of second answers have fewer fields than true ones.
 */
class SecondAnswerGatewayTest : AnnotationSpec() {
    /** Guards against a wrong success of a repeatable call, from a server that was not seen to answer twice. */
    @Test
    fun `a repeatable call gets no success with the form of second answers before a failure 300 ms later`() {
        val play = play(method = "GET", kind = "idempotent")

        play.wrong.shouldBeEmpty()
    }

    /** Guards against a wrong success, or a second run, of a call that may run once. */
    @Test
    fun `an at-most-once call gets no success with the form of second answers before a failure 300 ms later`() {
        val play = play(method = "POST", kind = "non_idempotent")

        play.wrong.shouldBeEmpty()
        play.statuses shouldNotContain NOT_RUN
        play.mostRuns shouldBe 1
    }

    /** Guards against a wrong success at a gateway that has seen no second answer, while another one has. */
    @Test
    fun `a gateway that was told the form of second answers passes on no success with it`() {
        val play = play(method = "GET", kind = "idempotent", gateways = 2)

        play.wrong.shouldBeEmpty()
    }

    /** Lets the first gateway see second answers, then sends calls whose first run fails through the last one. */
    private fun play(
        method: String,
        kind: String,
        gateways: Int = 1,
    ): Play {
        val runs = ConcurrentHashMap<String, Int>()
        val servers =
            List(SERVERS) { number -> ScriptedServer("i-$number", PAUSE) { it, _ -> answers(it, number, runs) } }
        val store = StoreServer()
        val places = gatewayPlaces(gateways, RETRY_SLACK)
        store.put("op/config", claimsConfiguration(kind, places.map { it.ip }))
        servers.forEach { store.put("servers/${it.instance}", it.entry) }
        val running = places.map { GatewayProcess(store.port, it) }
        try {
            running.forEach { it.awaitReady() }
            for (gateway in running) {
                repeat(SOUND_CALLS) {
                    gateway.exchange(method, "/claims/0", "sound-${runs.size}").body() shouldBe
                        TRUE_BODY
                }
            }
            while ("AF1218" !in running.first().log()) {
                val id = "doubled-${runs.size}"
                running.first().exchange(method, "/claims/0", id).body() shouldBe TRUE_BODY
                Thread.sleep(2 * PAUSE)
            }
            if (gateways > 1) Thread.sleep(REPORT_MILLISECONDS)
            val ids = List(CALLS) { "failing-$it" }
            val answers = ids.map { running.last().exchange(method, "/claims/0", it) }
            val wrong = answers.filter { it.statusCode() == OK && it.body() != TRUE_BODY }.map { it.body() }
            val statuses = answers.map { it.statusCode() }
            println(
                "$method, gateways $gateways: ${statuses.groupingBy { it }.eachCount()}, wrong ${wrong.size} of $CALLS",
            )
            return Play(statuses, wrong, ids.maxOf { runs[it] ?: 0 })
        } finally {
            running.forEach { it.close() }
            servers.forEach { it.close() }
            store.close()
        }
    }

    private fun answers(
        arrival: Arrival,
        number: Int,
        runs: MutableMap<String, Int>,
    ): List<String> {
        val id = arrival.requestId
        val run = runs.merge(id, 1, Int::plus)
        val truth =
            answerText(id, OK, fields = "Content-Type: text/plain\r\n", body = TRUE_BODY, stamp = "$number.$run")
        val second = answerText(id, OK, body = "{\"of\":\"$id\"}", stamp = "$number.$run")
        return when {
            id.startsWith("failing") && run == 1 -> listOf(second, answerText(id, SERVER_ERROR, stamp = "$number.$run"))
            id.startsWith("doubled") && number == 0 -> listOf(truth, second)
            else -> listOf(truth)
        }
    }

    /** What callers got, and how often the most frequent of their requests has run. */
    private class Play(
        val statuses: List<Int>,
        val wrong: List<String>,
        val mostRuns: Int,
    )

    private companion object {
        const val SERVERS = 3
        const val SOUND_CALLS = 24
        const val CALLS = 30
        const val RETRY_SLACK = 100
        const val PAUSE = 300L
        const val REPORT_MILLISECONDS = 2_000L
        const val OK = 200
        const val SERVER_ERROR = 500
        const val NOT_RUN = 503
        const val TRUE_BODY = "the claim is filed"
    }
}
