package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

/**
 * Runs a gateway in a separate process before a backend server that answers a request twice.
 *
 * The second answer comes when the next request of its connection is in, before the true answer to that one. Each caller
 * sends its request once more, with the same id.
 */
class RepeatedRequestIdTest : AnnotationSpec() {
    /** Guards against a success that reaches a caller although the server has failed that sending of its request. */
    @Test
    fun `a late success of an earlier sending is not the answer to the next sending with its id`() {
        for (kind in listOf("idempotent", "non_idempotent", "streaming")) {
            val statuses = playTwice(kind, first = FAILURE, late = SUCCESS, second = FAILURE)

            withClue(kind) { statuses.count { it == SUCCESS } shouldBe 0 }
        }
    }

    /** Guards against a caller that is told "not run" although the server has run that sending of its request. */
    @Test
    fun `a late refusal of an earlier sending is not the answer to the next sending with its id`() {
        for (kind in listOf("non_idempotent", "streaming")) {
            val statuses = playTwice(kind, first = REFUSAL, late = REFUSAL, second = SUCCESS)

            withClue(kind) { statuses.count { it == REFUSAL } shouldBe 0 }
        }
    }

    /** Guards against a stream whose caller gets the short second answer of a server whose first answer is lost. */
    @Test
    fun `a success that is no event stream does not answer a stream`() {
        val statuses =
            play(STREAMING, "the small success alone", sendings = 1) { arrival, _ ->
                listOf(answerText(arrival.requestId, SUCCESS))
            }

        statuses.count { it == SUCCESS } shouldBe 0
    }

    /** Guards against callers that get no answer because the server answered an earlier request twice. */
    @Test
    fun `the true answer behind a late one of another request reaches its caller`() {
        for (kind in listOf("idempotent", "non_idempotent", "streaming")) {
            val statuses =
                play(kind, "a late copy first", sendings = 1) { arrival, earlier ->
                    earlier.takeLast(1).map { answer(it, kind, SUCCESS) } + answer(arrival, kind, SUCCESS)
                }

            withClue(kind) { statuses.count { it == SUCCESS } shouldBe CALLS }
        }
    }

    /**
     * Sends each of several requests twice and returns the statuses of the second sendings.
     *
     * The server answers the first sending with [first], then with [late], and the second one with [second].
     */
    private fun playTwice(
        kind: String,
        first: Int,
        late: Int,
        second: Int,
    ): List<Int> =
        play(kind, "first $first, late $late, then $second", sendings = 2) { arrival, earlier ->
            val answeredOnce = earlier.lastOrNull()?.takeIf { it.sending == 1 }
            val lateAnswers = listOfNotNull(answeredOnce?.let { answer(it, kind, late) })
            lateAnswers + answer(arrival, kind, if (arrival.sending == 1) first else second)
        }

    /** Sends each of several requests [sendings] times to a server with [script]; returns the last statuses. */
    private fun play(
        kind: String,
        name: String,
        sendings: Int,
        script: (Arrival, List<Arrival>) -> List<String>,
    ): List<Int> {
        val server = ScriptedServer("i-first", script = script)
        val store = StoreServer()
        store.put("op/config", claimsConfiguration(kind))
        store.put("servers/${server.instance}", server.entry)
        val gateway = GatewayProcess(store.port)
        try {
            gateway.awaitReady()
            val statuses = List(CALLS) { call -> List(sendings) { gateway.call("/claims/$call", "id-$call") }.last() }
            println("$kind, $name: last sendings got ${statuses.groupingBy { it }.eachCount()}")
            return statuses
        } finally {
            gateway.close()
            server.close()
            store.close()
        }
    }

    /** A success on a route of streams is an event stream. */
    private fun answer(
        arrival: Arrival,
        kind: String,
        status: Int,
    ): String =
        when {
            status == REFUSAL -> answerText(arrival.requestId, status, "Not-Executed: 1\r\n")
            status == SUCCESS && kind == STREAMING -> answerText(arrival.requestId, status, EVENT_STREAM, EVENT)
            else -> answerText(arrival.requestId, status)
        }

    private companion object {
        const val CALLS = 24
        const val SUCCESS = 200
        const val FAILURE = 500
        const val REFUSAL = 503
        const val STREAMING = "streaming"
        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"
        const val EVENT = "id: 1\ndata: ok\n\n"
    }
}
