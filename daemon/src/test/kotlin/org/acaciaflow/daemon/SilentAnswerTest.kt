package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Runs a gateway in a process of its own before servers whose answers fall silent and go on in time.
 *
 * Each test guards against an answer that is given up, though its server would go on, while no other server has it (LOST).
 */
class SilentAnswerTest : AnnotationSpec() {
    @Test
    fun `streams of one server that is silent for a second are whole`() =
        areWhole("one server", Play(listOf(silent("i-1", "v1"))))

    @Test
    fun `streams are whole while each server has a software version of its own`() =
        areWhole("two versions", Play(listOf(silent("i-1", "v1"), silent("i-2", "v2"))))

    @Test
    fun `streams of one server are whole beside changes of the configuration`() =
        areWhole("two versions, changes", Play(listOf(silent("i-1", "v1"), silent("i-2", "v2")), changes = true))

    @Test
    fun `streams are whole in a planned stop`() =
        areWhole("two versions, stop", Play(listOf(silent("i-1", "v1"), silent("i-2", "v2")), stops = true))

    @Test
    fun `streams of engines are whole while each engine has a software version of its own`() =
        areWhole("two engines", Play(listOf(silent("i-1", "v1"), silent("i-2", "v2")), areEngines = true))

    @Test
    fun `streams of one engine that is silent for longer are whole beside changes of the configuration`() =
        areWhole(
            "one engine, changes",
            Play(listOf(silent("i-1", "v1", 1_800)), areEngines = true, changes = true),
        )

    /** Guards against waiting for a server that does not go on, where another one would: its callers leave after 2 s. */
    @Test
    fun `streams of a server that is silent for good go on at another server in time`() {
        for (areEngines in listOf(false, true)) {
            val servers = listOf(silent("i-1", "v1", FOR_GOOD_MILLISECONDS), silent("i-2", "v1", silence = 0))
            areWhole("silent for good, engines $areEngines", Play(servers, areEngines), SLOWEST_MILLISECONDS)
        }
    }

    @Test
    fun `idempotent calls of one server that is silent for a second within the body are answered`() =
        areAnswered("one server", listOf(halting("i-1", HALT_MILLISECONDS)))

    /** Guards against waiting for a server that does not go on, where another one answers. */
    @Test
    fun `idempotent calls of a server that is silent for good are answered by another one at once`() {
        val servers = listOf(halting("i-1", FOR_GOOD_MILLISECONDS), halting("i-2", pauseMilliseconds = 0))
        areAnswered("silent for good", servers, SLOWEST_CALL_MILLISECONDS)
    }

    private fun areWhole(
        name: String,
        play: Play,
        within: Long = TIMEOUT_MILLISECONDS,
    ) {
        val results = play(play)
        println("silent streams, $name: ${results.count { it.isWhole }} of $CALLS whole, " + slowest(results))
        shouldBeWhole(results, within)
    }

    private fun shouldBeWhole(
        results: List<Result>,
        within: Long,
    ) {
        withClue(results.filterNot { it.isWhole }) { results.count { it.isWhole } shouldBe CALLS }
        withClue("slowest, ms") { results.maxOf { it.milliseconds } shouldBeLessThan within }
    }

    private fun play(play: Play): List<Result> {
        val place = gatewayPlaces(1, RETRY_SLACK).single()
        val version = AtomicInteger(1)
        StoreServer(takesWrites = true).use { store ->
            store.put("op/config", configuration(play, version.get()))
            play.servers.forEach { store.put("servers/${it.instance}", it.entry) }
            GatewayProcess(store.port, place).use { gateway ->
                gateway.awaitReady()
                if (play.stops) gateway.signal("TERM")
                val changing = Executors.newSingleThreadScheduledExecutor()
                if (play.changes) {
                    val change = { store.put("op/config", configuration(play, version.incrementAndGet())) }
                    changing.scheduleAtFixedRate(change, 0, CHANGE_MILLISECONDS, TimeUnit.MILLISECONDS)
                }
                try {
                    return inParallel { number -> stream(InetSocketAddress(place.ip, place.ports.first()), number) }
                } finally {
                    changing.shutdownNow()
                    play.servers.forEach { it.close() }
                }
            }
        }
    }

    private fun stream(
        address: InetSocketAddress,
        number: Int,
    ): Result {
        val sentAt = System.nanoTime()
        val attempt = callStream(address, "s$number")
        val isWhole = attempt.isWhole && attempt.events.map { it.number } == (1..VersionedServer.EVENTS).toList()
        return Result(attempt.status, isWhole, millisecondsSince(sentAt))
    }

    private fun areAnswered(
        name: String,
        servers: List<ScriptedServer>,
        within: Long = TIMEOUT_MILLISECONDS,
    ) {
        val place = gatewayPlaces(1, RETRY_SLACK).single()
        StoreServer().use { store ->
            store.put(
                "op/config",
                claimsConfiguration("idempotent", listOf(place.ip), timeoutMilliseconds = TIMEOUT_MILLISECONDS),
            )
            servers.forEach { store.put("servers/${it.instance}", it.entry) }
            GatewayProcess(store.port, place).use { gateway ->
                gateway.awaitReady()
                val results =
                    inParallel { number ->
                        val sentAt = System.nanoTime()
                        val answer = gateway.exchange("POST", "/claims/$number", "c$number")
                        Result(answer.statusCode(), answer.body() == BODY, millisecondsSince(sentAt))
                    }
                println("silent calls, $name: ${results.count { it.isWhole }} of $CALLS answered, " + slowest(results))
                servers.forEach { it.close() }
                shouldBeWhole(results, within)
            }
        }
    }

    private fun slowest(results: List<Result>): String =
        "slowest ${results.maxOf { it.milliseconds }} ms, statuses ${results.groupingBy { it.status }.eachCount()}"

    private fun inParallel(call: (Int) -> Result): List<Result> {
        val threads = Executors.newFixedThreadPool(CALLS)
        try {
            return List(CALLS) { number ->
                threads.submit<Result> {
                    Thread.sleep(number * BETWEEN_MILLISECONDS)
                    call(number)
                }
            }.map { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    private fun silent(
        instance: String,
        version: String,
        silence: Long = SILENCE_MILLISECONDS,
    ) = VersionedServer(instance, version, PACE_MILLISECONDS, breaksOff = false, silence)

    /** A server that pauses in the middle of each body. */
    private fun halting(
        instance: String,
        pauseMilliseconds: Long,
    ) = ScriptedServer(instance, pauseMilliseconds) { arrival, _ ->
        val answer = answerText(arrival.requestId, status = 200, body = BODY)
        listOf(answer.dropLast(BODY.length / 2), answer.takeLast(BODY.length / 2))
    }

    private fun configuration(
        play: Play,
        version: Int,
    ): String = VersionedStage.configuration(play.areEngines, TIMEOUT_MILLISECONDS, GAP_AIM_MILLISECONDS, version)

    private fun millisecondsSince(nanoTime: Long): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoTime)

    /** The [servers] of a play, and what goes on beside its calls. */
    private data class Play(
        val servers: List<VersionedServer>,
        val areEngines: Boolean = false,
        val changes: Boolean = false,
        val stops: Boolean = false,
    )

    private data class Result(
        val status: Int,
        val isWhole: Boolean,
        val milliseconds: Long,
    )

    private companion object {
        const val CALLS = 24
        const val RETRY_SLACK = 200
        const val PACE_MILLISECONDS = 20L
        const val BETWEEN_MILLISECONDS = 20L
        const val SILENCE_MILLISECONDS = 1_100L
        const val HALT_MILLISECONDS = 1_100L
        const val FOR_GOOD_MILLISECONDS = 20_000L
        const val TIMEOUT_MILLISECONDS = 6_000L
        const val GAP_AIM_MILLISECONDS = 200L
        const val CHANGE_MILLISECONDS = 300L
        const val SLOWEST_MILLISECONDS = 3_000L // a stream takes 0.4 s, and callers leave after 2 s of silence
        const val SLOWEST_CALL_MILLISECONDS = 2_000L
        const val BODY = "the answer to the call"
    }
}
