package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap

/**
 * Runs gateways in separate processes before servers that answer twice, the second time with a small success.
 *
 * Behind a sound run the second answer comes second. Where a run fails, it comes before the failure or alone.
 */
class EarlySecondAnswerTest : AnnotationSpec() {
    /** Guards against a wrong success from a server that was seen to answer twice, while sound servers have room. */
    @Test
    fun `plain calls get no wrong success from a server seen to answer twice while sound servers have room`() {
        val plays = PlainCall.entries.map { call -> play(call, Failure.LATE, stutteringServers = 1, soundRuns = 1) }

        plays.map { it.wrongSuccesses.size } shouldBe listOf(0, 0)
    }

    /** Guards against a wrong success at a gateway that another gateway could have told that the server answers twice. */
    @Test
    fun `a gateway that was told of second answers passes on no wrong success of their server`() {
        val plays =
            PlainCall.entries.map { call ->
                play(call, Failure.LATE, stutteringServers = 1, soundRuns = 1, gateways = 2)
            }

        plays.map { it.wrongSuccesses.size } shouldBe listOf(0, 0)
    }

    /** Guards against a wrong success of a call that can be sent on, where the failure follows 60 ms later. */
    @Test
    fun `a repeatable call is not answered with a success that its server contradicts at once`() {
        val play = play(PlainCall.REPEATABLE, Failure.LATE)

        play.wrongSuccesses.shouldBeEmpty()
        (play.statuses.toSet() - setOf(OK, BAD_GATEWAY)).shouldBeEmpty()
    }

    /** Guards against a wrong success of a call that may run once, where the failure follows 60 ms later. */
    @Test
    fun `an at-most-once call gets the failure that follows the second answer, and runs once`() {
        val play = play(PlainCall.AT_MOST_ONCE, Failure.LATE)

        play.statuses shouldNotContain OK
        play.statuses shouldNotContain NOT_RUN
        play.mostRuns shouldBe 1
    }

    /** Guards against a wrong success where the failure follows 300 ms later and no body of second answers is like another. */
    @Test
    fun `a success is not passed on before a slow failure contradicts it`() {
        val plays = PlainCall.entries.map { call -> play(call, Failure.SLOW) }

        plays.map { it.wrongSuccesses.size } shouldBe listOf(0, 0)
        plays.last().statuses shouldNotContain NOT_RUN
        plays.last().mostRuns shouldBe 1
    }

    /** Guards against a wrong success where the failure never comes and the connection stays silent. */
    @Test
    fun `a lone success with the known body of second answers is not passed on while its connection is silent`() {
        val plays = PlainCall.entries.map { call -> play(call, Failure.SILENT) }

        plays.map { it.wrongSuccesses.size } shouldBe listOf(0, 0)
        plays.last().statuses shouldNotContain NOT_RUN
        plays.last().mostRuns shouldBe 1
    }

    /** Guards against a wrong success where the failure is lost with its connection. */
    @Test
    fun `a lone success with the known body of second answers is not passed on when its connection ends`() {
        val plays = PlainCall.entries.map { call -> play(call, Failure.CLOSED) }

        plays.map { it.wrongSuccesses.size } shouldBe listOf(0, 0)
        plays.last().statuses shouldNotContain NOT_RUN
        plays.last().mostRuns shouldBe 1
    }

    /** Guards against sound answers that are withheld because their server answers twice. */
    @Test
    fun `servers that answer each sound run twice serve all callers with the whole true body`() {
        for (call in PlainCall.entries) {
            val play = play(call, Failure.NONE)

            withClue(call) { play.bodies shouldBe play.ids.map(::trueBody) }
        }
    }

    /** Lets gateways see second answers behind sound runs, then sends calls whose first run fails at such servers. */
    private fun play(
        call: PlainCall,
        failure: Failure,
        stutteringServers: Int = SERVERS,
        soundRuns: Int = SOUND_RUNS,
        gateways: Int = 1,
    ): Play {
        val pool = StutteringPool(stutteringServers, failure)
        val store = StoreServer()
        val places = gatewayPlaces(gateways, RETRY_SLACK)
        store.put("op/config", claimsConfiguration(call.kind, places.map { it.ip }))
        pool.servers.forEach { store.put("servers/${it.instance}", it.entry) }
        val running = places.map { GatewayProcess(store.port, it) }
        try {
            running.forEach { it.awaitReady() }
            pool.showSecondAnswers(running.first(), call, soundRuns)
            if (gateways > 1) Thread.sleep(REPORT_MILLISECONDS)
            val ids = List(CALLS) { "$FAILING$it" }
            val answers = ids.map { running.last().exchange(call.method, "/claims/$it", it) }
            val play = Play(ids, answers.map { it.statusCode() }, answers.map { it.body() }, pool.mostRuns(ids))
            println(
                "$call, $failure, $stutteringServers of $SERVERS servers answer twice, gateways $gateways: " +
                    "${play.statuses.groupingBy { it }.eachCount()}, wrong ${play.wrongSuccesses.size} of $CALLS, " +
                    "reached by these calls ${pool.stutteringRuns(ids)}",
            )
            return play
        } finally {
            running.forEach { it.close() }
            pool.close()
            store.close()
        }
    }

    /** What callers with [ids] got, and how often the most frequent of these requests has run. */
    private class Play(
        val ids: List<String>,
        val statuses: List<Int>,
        val bodies: List<String>,
        val mostRuns: Int,
    ) {
        val wrongSuccesses = ids.indices.filter { statuses[it] == OK && bodies[it] != trueBody(ids[it]) }
    }

    /** Servers of one pool; the first [stuttering] answer each run twice, and fail the first run of some requests. */
    private class StutteringPool(
        private val stuttering: Int,
        private val failure: Failure,
    ) : AutoCloseable {
        private val runs = ConcurrentHashMap<String, Int>()

        val servers = List(SERVERS, ::server)

        /** Calls through [gateway] until each stuttering server has answered [soundRuns] sound runs twice. */
        fun showSecondAnswers(
            gateway: GatewayProcess,
            call: PlainCall,
            soundRuns: Int,
        ) {
            var calls = 0
            while (servers.take(stuttering).any { server -> server.executed.count { SOUND in it } < soundRuns }) {
                check(calls < MOST_SOUND_CALLS) { "servers got ${servers.map { it.executed.size }} of $calls calls" }
                val id = "$SOUND${calls++}"
                gateway.exchange(call.method, "/claims/$id", id).body() shouldBe trueBody(id)
                Thread.sleep(2 * PAUSE_MILLISECONDS)
            }
        }

        fun mostRuns(ids: List<String>): Int = ids.maxOf { runs[it] ?: 0 }

        fun stutteringRuns(ids: List<String>): Int = servers.take(stuttering).sumOf { it.executed.count(ids::contains) }

        override fun close() = servers.forEach { it.close() }

        private fun server(number: Int) =
            ScriptedServer("i-$number", PAUSE_MILLISECONDS) { arrival, _ -> answers(arrival, number) }

        private fun answers(
            arrival: Arrival,
            number: Int,
        ): List<String> {
            val id = arrival.requestId
            val run = runs.merge(id, 1, Int::plus)
            val stamp = "i-$number.$id.$run"
            val truth = answerText(id, OK, body = trueBody(id), stamp = stamp)
            val second = answerText(id, OK, body = failure.secondBody(id), stamp = stamp)
            return when {
                number >= stuttering || id.isEmpty() -> listOf(truth)
                run == 1 && FAILING in id -> failure.answers(truth, second, answerText(id, SERVER_ERROR, stamp = stamp))
                else -> listOf(truth, second)
            }
        }
    }

    /** A call to a plain route. */
    private enum class PlainCall(
        val method: String,
        val kind: String,
    ) {
        REPEATABLE("GET", "idempotent"),
        AT_MOST_ONCE("POST", "non_idempotent"),
    }

    /** What a server writes to a run that fails, where the second answer comes first. */
    private enum class Failure {
        /** The failure, a pause after the second answer. */
        LATE,

        /** The failure, several pauses after the second answer, which has a body of its own. */
        SLOW,

        /** Nothing more; the connection stays open. */
        SILENT,

        /** Nothing more; the connection ends after a pause. */
        CLOSED,

        /** No run fails. */
        NONE,
        ;

        fun secondBody(id: String): String = if (this == SLOW) "seen $id" else SECOND_BODY

        /** The texts to write, with a pause between one and the next. */
        fun answers(
            truth: String,
            second: String,
            failed: String,
        ): List<String> =
            when (this) {
                LATE -> listOf(second, failed)
                SLOW -> listOf(second) + List(SLOW_PAUSES - 1) { "" } + failed
                SILENT -> listOf(second)
                CLOSED -> listOf(second, ScriptedServer.END_OF_CONNECTION)
                NONE -> listOf(truth, second)
            }
    }

    private companion object {
        const val SERVERS = 3
        const val CALLS = 30
        const val SOUND_RUNS = 4
        const val MOST_SOUND_CALLS = 120
        const val RETRY_SLACK = 100
        const val PAUSE_MILLISECONDS = 60L
        const val SLOW_PAUSES = 5
        const val REPORT_MILLISECONDS = 2_000L
        const val OK = 200
        const val BAD_GATEWAY = 502
        const val SERVER_ERROR = 500
        const val NOT_RUN = 503
        const val SOUND = "sound-"
        const val FAILING = "failing-"
        const val SECOND_BODY = "ok"

        fun trueBody(id: String): String = "the claim $id is filed"
    }
}
