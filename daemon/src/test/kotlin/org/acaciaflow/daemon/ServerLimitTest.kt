package org.acaciaflow.daemon

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.daemon.limit.ExcusedMachine
import org.acaciaflow.daemon.limit.LimitCall
import org.acaciaflow.daemon.limit.LimitJudge
import org.acaciaflow.daemon.limit.LimitStage
import org.acaciaflow.daemon.limit.LimitingServer
import kotlin.random.Random

/**
 * Runs five gateways in separate processes before servers that name in their answers how many requests a second they take.
 *
 * Some 30 callers call about 70 times a second. Each test has a service of its own, of three servers.
 */
class ServerLimitTest : AnnotationSpec() {
    private lateinit var stage: LimitStage

    @BeforeAll
    fun startAll() {
        stage = LimitStage(SERVICES)
        stage.awaitReady()
        println("the gateways were ready after ${stage.clock()} ms")
    }

    @AfterAll
    fun stopAll() = stage.close()

    /** Guards against gateways that each keep the limit for themselves, so that together they exceed it. */
    @Test
    fun `calls spread over the gateways keep a server's limit and use it`() =
        playOneLimited("spread") { it.nextInt(LimitStage.GATEWAYS) }

    /** Guards against equal parts of the limit, of which most is wasted at gateways without calls. */
    @Test
    fun `nine of ten calls at one gateway keep a server's limit and use it`() =
        playOneLimited("uneven") { if (it.nextInt(10) < 9) 0 else it.nextInt(1, LimitStage.GATEWAYS) }

    /** Guards against a server that starves because the only gateway with calls has a small part of its limit. */
    @Test
    fun `all calls at one gateway keep a server's limit and use it`() = playOneLimited("single") { 2 }

    /** Guards against callers that wait until their deadline, or return in vain, when all servers are limited. */
    @Test
    fun `calls beyond the limits of all servers are refused at once and served when they return as told`() {
        val played =
            play("full", returnsWhenTold = true) { servers ->
                servers.forEach { it.limit = LIMIT_OF_EACH }
                Thread.sleep(STABLE + JUDGED)
            }

        assertSoftly {
            stage.servers("full").forEach { shouldKeepLimit(it) }
            stage.servers("full").forEach { shouldUseLimit(it, played.span.skip(STABLE), LIMIT_OF_EACH) }
            shouldBeRefusedAtOnce(played.callsFrom(STABLE))
            shouldBeServedOnReturn(played.callsFrom(0))
        }
    }

    /** Guards against gateways that go on with the limit they heard first. */
    @Test
    fun `a limit that falls is kept`() {
        val played =
            play("falling") { servers ->
                servers[0].limit = HIGH_LIMIT
                Thread.sleep(STABLE)
                servers[0].limit = LOW_LIMIT
                Thread.sleep(STABLE + JUDGED)
            }

        assertSoftly {
            shouldKeepLimit(stage.servers("falling")[0])
            shouldUseLimit(stage.servers("falling")[0], played.span.skip(2 * STABLE), LOW_LIMIT)
            shouldBeServed(played.callsFrom(0))
        }
    }

    /** Guards against a limit that outlives the server's need. */
    @Test
    fun `a server that names no limit any more has its share back within five seconds`() {
        val played =
            play("ended") { servers ->
                servers[0].limit = LIMIT
                Thread.sleep(STABLE)
                servers[0].limit = null
                Thread.sleep(SHARE_BACK + COUNTED)
            }

        val got = stage.servers("ended").map { requests(it, played.span.skip(STABLE + SHARE_BACK)) }
        println("after the limit's end the servers got $got")
        assertSoftly {
            withClue("requests of the servers: $got") {
                got[0].toDouble() shouldBeGreaterThanOrEqual SHARE_OF_OTHERS * (got[1] + got[2]) / 2
            }
            shouldBeServed(played.callsFrom(0))
        }
    }

    /** Guards against a restarted gateway whose part is added to those that the others took over. */
    @Test
    fun `a gateway that is killed and started again keeps a server's limit`() {
        val killed = stage.gateways[KILLED]
        var downFrom = 0L
        var downUntil = 0L
        val played =
            play("killed") { servers ->
                servers[0].limit = LIMIT
                Thread.sleep(STABLE)
                downFrom = stage.clock()
                killed.restart("KILL")
                killed.awaitReady()
                downUntil = stage.clock()
                Thread.sleep(STABLE + JUDGED)
            }

        println("the gateway was down for ${downUntil - downFrom} ms")
        assertSoftly {
            val excused = ExcusedMachine(killed.name, downFrom, downUntil + STABLE)
            shouldKeepLimit(stage.servers("killed")[0], persistentListOf(excused))
            shouldUseLimit(stage.servers("killed")[0], played.span.skip(STABLE), LIMIT)
        }
    }

    /** Lets one of the three servers of [service] name a limit, which holds while the others have room. */
    private fun playOneLimited(
        service: String,
        choose: (Random) -> Int,
    ) {
        val played =
            play(service, choose = choose) { servers ->
                servers[0].limit = LIMIT
                Thread.sleep(STABLE + JUDGED)
            }

        assertSoftly {
            shouldKeepLimit(stage.servers(service)[0])
            shouldUseLimit(stage.servers(service)[0], played.span.skip(STABLE), LIMIT)
            shouldBeServed(played.callsFrom(0))
        }
    }

    /** Runs [script] on the servers of [service] after some calls without a limit. */
    private fun play(
        service: String,
        returnsWhenTold: Boolean = false,
        choose: (Random) -> Int = { it.nextInt(LimitStage.GATEWAYS) },
        script: (List<LimitingServer>) -> Unit,
    ): Played {
        var span = Span(0, 0)
        val calls =
            stage.play(service, returnsWhenTold, choose) { servers ->
                Thread.sleep(WARM_UP)
                val from = stage.clock()
                script(servers)
                span = Span(from, stage.clock())
            }
        return Played(calls, span)
    }

    private fun shouldKeepLimit(
        server: LimitingServer,
        excused: ImmutableList<ExcusedMachine> = persistentListOf(),
    ) {
        val judge = LimitJudge(server.entries(), excused)
        val breaches = judge.windows.count { it.isExceeded }
        val earlier = judge.windowsWithEarlier.maxByOrNull { it.requests - it.allowed }
        println(
            "${server.instance}: worst ${judge.worst}, over in $breaches of ${judge.windows.size}; with earlier $earlier",
        )
        withClue("${server.instance}: ${judge.worst}") { breaches shouldBe 0 }
        val machines = stage.gateways.map { it.name }
        server
            .entries()
            .arrivals
            .filter { it.machine !in machines }
            .shouldBeEmpty()
    }

    private fun shouldUseLimit(
        server: LimitingServer,
        span: Span,
        limit: Double,
    ) {
        val perSecond = requests(server, span) * MILLISECONDS_PER_SECOND / span.milliseconds
        println("${server.instance}: ${"%.2f".format(perSecond)} requests a second of $limit")
        withClue(server.instance) { perSecond shouldBeGreaterThanOrEqual SHARE_OF_LIMIT * limit }
    }

    private fun shouldBeRefusedAtOnce(calls: List<LimitCall>) {
        val refused = calls.filter { !it.isServed }
        val atOnce =
            refused.count {
                it.status == UNAVAILABLE &&
                    it.retryAfterSeconds != null &&
                    it.milliseconds < AT_ONCE
            }
        val slowest = refused.map { it.milliseconds }.sorted().let { it.getOrNull(it.size * 95 / 100) }
        val returns = refused.mapNotNull { it.retryAfterSeconds }
        println(
            "refused ${refused.size} of ${calls.size}, at once $atOnce, 95 in 100 within $slowest ms; " +
                "to return after ${returns.minOrNull()} to ${returns.maxOrNull()} s",
        )
        withClue("statuses ${calls.groupingBy { it.status }.eachCount()}") { refused.isNotEmpty() shouldBe true }
        atOnce.toDouble() shouldBeGreaterThanOrEqual NEARLY_ALL * refused.size
    }

    /** Of the calls that were refused and had time to return three times, seven in ten or more are served in the end. */
    private fun shouldBeServedOnReturn(calls: List<LimitCall>) {
        val byCall = calls.groupBy { it.call }.values
        val over =
            byCall.filter { tries ->
                tries.first().retryAfterSeconds != null &&
                    (tries.last().isServed || tries.size > RETURNS)
            }
        val served = over.count { it.last().isServed }
        val attempts = over.groupingBy { it.size - 1 }.eachCount().toSortedMap()
        println("of ${over.size} calls that returned when told $served were served; by returns $attempts")
        withClue("calls that returned") { over.isNotEmpty() shouldBe true }
        served.toDouble() shouldBeGreaterThanOrEqual MOST * over.size
    }

    private fun shouldBeServed(calls: List<LimitCall>) {
        val notServed = calls.filter { !it.isServed }
        val statuses = notServed.groupingBy { it.status }.eachCount()
        println("not served: ${notServed.size} of ${calls.size}, $statuses")
        withClue("not served: $statuses") { notServed.size.toDouble() shouldBeLessThan FEW * calls.size }
    }

    private fun requests(
        server: LimitingServer,
        span: Span,
    ): Int = server.entries().arrivals.count { it.atMilliseconds in span.from..<span.until }

    /** The calls of a play, and the time [span] of its script. */
    private class Played(
        private val calls: ImmutableList<LimitCall>,
        val span: Span,
    ) {
        /** The calls that were sent [milliseconds] after the script's start or later. */
        fun callsFrom(milliseconds: Long): List<LimitCall> =
            calls.filter { it.sentAtMilliseconds >= span.from + milliseconds }
    }

    private data class Span(
        val from: Long,
        val until: Long,
    ) {
        val milliseconds: Long get() = until - from

        fun skip(milliseconds: Long) = Span(from + milliseconds, until)
    }

    private companion object {
        val SERVICES = listOf("spread", "uneven", "single", "full", "falling", "ended", "killed")
        const val LIMIT = 4.3
        const val LIMIT_OF_EACH = 5.7
        const val HIGH_LIMIT = 12.0
        const val LOW_LIMIT = 3.0
        const val SHARE_OF_LIMIT = 0.4
        const val SHARE_OF_OTHERS = 0.5
        const val FEW = 0.02
        const val NEARLY_ALL = 0.95
        const val MOST = 0.7
        const val RETURNS = 3
        const val KILLED = 1
        const val UNAVAILABLE = 503
        const val WARM_UP = 1_000L
        const val STABLE = 3_000L
        const val JUDGED = 4_500L
        const val SHARE_BACK = 5_000L
        const val COUNTED = 2_000L
        const val AT_ONCE = 300L
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
