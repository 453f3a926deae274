package org.acaciaflow.daemon.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.daemon.soak.ServerOutcome.Answered
import org.acaciaflow.daemon.soak.ServerOutcome.Rejected
import org.acaciaflow.daemon.soak.WritingKind.INTERIM_ANSWER
import org.acaciaflow.daemon.soak.WritingKind.NONSENSE
import org.acaciaflow.daemon.soak.WritingKind.SECOND_ANSWER
import org.acaciaflow.daemon.soak.WritingKind.TRUE_ANSWER

/** Drives a plain soak server with a raw socket and compares what it wrote with its account. */
class PlainSoakServerTest : AnnotationSpec() {
    @Test
    fun `a sound server answers each request of a connection and has all of it in its account`() {
        val entries =
            play(FaultMix.SOUND) {
                send("a", body = "first")
                readUntil(plainBody("i-1.1.1"))
                sendText(
                    "POST /claims/2 HTTP/1.1\r\nRequest-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                )
                readUntil("Request-Id: b\r\nServer-Stamp: i-1.1.2\r\n")
            }

        entries.arrivals.map { listOf(it.requestId, it.target, it.body) } shouldContainExactly
            listOf(listOf("a", "/claims/1", "first"), listOf("b", "/claims/2", "abc"))
        entries.outcomes["i-1.1.2"] shouldBe Answered(200, plainBody("i-1.1.2"), wroteWhole = true)
        entries.writings.map { it.kind to it.requestId } shouldContainExactly
            listOf(TRUE_ANSWER to "a", TRUE_ANSWER to "b")
    }

    @Test
    fun `the verdicts have their statuses in the answer and in the account`() {
        val verdicts =
            mapOf(
                FaultMix(serverError = 1.0) to Answered(500, "failed i-1.1.1", wroteWhole = true),
                FaultMix(timeLimit = 1.0) to Answered(504, "failed i-1.1.1", wroteWhole = true),
                FaultMix(refusal = 1.0) to Rejected(503),
            )
        for ((mix, outcome) in verdicts) {
            val entries =
                play(mix) {
                    send("a")
                    val status = (outcome as? Answered)?.status ?: 503
                    readAnswers(1) shouldStartWith "HTTP/1.1 $status "
                }

            entries.outcomes["i-1.1.1"] shouldBe outcome
        }
    }

    @Test
    fun `a request for another instance is not run`() {
        val entries =
            play(FaultMix.SOUND) {
                send("a", fields = listOf("Expect-Instance: i-2"))
                readUntil("Instance-Id: i-1\r\n")
            }

        entries.outcomes["i-1.1.1"] shouldBe Rejected(421)
    }

    @Test
    fun `a second answer comes at its moment and is in the account as one`() {
        for (moment in StutterMomentKind.entries) {
            val isLast = moment == StutterMomentKind.WITH_NEXT_REQUEST
            val mix = stuttering(moment, StutterContent.SmallSuccess).copy(serverError = 1.0)
            val entries =
                play(mix) {
                    send("a")
                    val first = readAnswers(if (isLast) 1 else 2) + readRest(quietMilliseconds = 200)
                    withClue(moment) { answers(first) shouldBe if (isLast) listOf(500) else listOf(500, 200) }
                    send("b")
                    val second = readAnswers(2)
                    withClue(moment) { answers(second) shouldBe if (isLast) listOf(200, 500) else listOf(500, 200) }
                }

            val kinds = entries.writings.map { Triple(it.kind, it.stamp, it.status) }
            val (truth, late) = Triple(TRUE_ANSWER, "i-1.1.1", 500) to Triple(SECOND_ANSWER, "i-1.1.1", 200)
            withClue(moment) {
                kinds.take(2) shouldContainExactly listOf(truth, late)
                entries.outcomes["i-1.1.1"] shouldBe Answered(500, "failed i-1.1.1", wroteWhole = true)
            }
        }
    }

    @Test
    fun `a second answer counted from the arrival comes before a slow failure and behind a fast answer`() {
        val orders =
            mapOf(
                EARLY.copy(slowFailures = SlowFailures(serverError = 1.0)) to listOf(200, 500),
                EARLY.copy(slowFailures = SlowFailures(timeLimit = 1.0)) to listOf(200, 504),
                EARLY.copy(serverError = 1.0) to listOf(500, 200),
                EARLY to listOf(200, 200),
            )
        for ((mix, statuses) in orders) {
            val entries =
                play(mix, seedWithLateFailure(mix)) {
                    send("a", fields = listOf("Deadline-Ms: $LIMIT_MILLISECONDS"))
                    withClue(mix) { answers(readAnswers(2)) shouldBe statuses }
                }

            val inOrder = listOf(SECOND_ANSWER, TRUE_ANSWER)
            val isSlow = mix.slowFailures != SlowFailures()
            withClue(mix) {
                entries.writings.map { it.kind } shouldContainExactly if (isSlow) inOrder else inOrder.reversed()
                entries.writings.map { it.stamp }.toSet() shouldBe setOf("i-1.1.1")
                (entries.outcomes["i-1.1.1"] as Answered).wroteWhole shouldBe true
            }
        }
    }

    @Test
    fun `a second answer counted from the arrival comes alone where the failure never arrives`() {
        val ends =
            mapOf(
                SlowFailures(hang = 1.0) to ("" to 504),
                SlowFailures(lost = 1.0) to (RawCaller.ENDED to 500),
            )
        for ((failures, expected) in ends) {
            val (end, status) = expected
            val mix = EARLY.copy(slowFailures = failures)
            val entries =
                play(mix, seedWithLateFailure(mix)) {
                    send("a", fields = listOf("Deadline-Ms: $LIMIT_MILLISECONDS"))
                    val text = readRest(quietMilliseconds = 2_000)
                    answers(text) shouldBe listOf(200)
                    text shouldEndWith "\r\n\r\nok$end"
                }

            withClue(failures) {
                entries.writings.map { it.kind } shouldContainExactly listOf(SECOND_ANSWER)
                entries.outcomes["i-1.1.1"] shouldBe Answered(status, "failed i-1.1.1", wroteWhole = false)
            }
        }
    }

    @Test
    fun `a run that fails at its own time limit takes as long as its request allows`() {
        val start = System.nanoTime()
        play(FaultMix(slowFailures = SlowFailures(timeLimit = 1.0))) {
            send("a", fields = listOf("Deadline-Ms: $LIMIT_MILLISECONDS"))
            readAnswers(1) shouldStartWith "HTTP/1.1 504 "
        }

        (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND shouldBeGreaterThan LIMIT_MILLISECONDS - 1
    }

    @Test
    fun `slow failures and second answers are drawn apart from each other and from all else`() {
        val slow = SlowFailures(serverError = 0.2, timeLimit = 0.2, hang = 0.2, lost = 0.2)
        val mix = EARLY.copy(stutter = 0.5, slowFailures = slow, longestWorkMilliseconds = 9)
        val draw = { drawn: FaultMix -> List(ARRIVALS) { drawn.draw(soakRun(7).randomFor("i-1.1.$it")) } }
        val plans = draw(mix)
        val plansWithout = draw(mix.copy(slowFailures = SlowFailures()))

        plans.zip(plansWithout).forEach { (plan, without) ->
            plan.copy(verdict = without.verdict, delivery = without.delivery) shouldBe without
        }
        val kinds = plans.groupBy { it.verdict::class to it.delivery::class }
        kinds.size shouldBe 5
        for ((kind, ofKind) in kinds) withClue(kind) { ofKind.map { it.stutter != null }.toSet().size shouldBe 2 }
    }

    @Test
    fun `a second answer has the content that the mix names`() {
        val parts =
            mapOf(
                StutterContent.SmallSuccess to "HTTP/1.1 200 Answer\r\nRequest-Id: a\r\nServer-Stamp: i-1.1.1\r\n",
                StutterContent.ExactCopy to "failed i-1.1.1HTTP/1.1 500 ",
                StutterContent.WholeSuccess to plainBody("i-1.1.1"),
                StutterContent.Failure to "failed afterwards",
                StutterContent.EventStream to "Content-Type: text/event-stream",
                StutterContent.WithoutId to "HTTP/1.1 200 Answer\r\nServer-Stamp: i-1.1.1\r\n",
            )
        FaultMix.ALL_CONTENTS.toSet() shouldBe parts.keys
        for ((content, part) in parts) {
            play(stuttering(StutterMomentKind.SAME_WRITE, content).copy(serverError = 1.0)) {
                send("a")
                withClue(content) { readUntil(part) }
            }
        }
    }

    @Test
    fun `an answer that is not written whole is so in the account`() {
        val mixes = listOf(FaultMix(reset = 1.0), FaultMix(mute = 1.0), FaultMix(lost = 1.0), FaultMix(cutShort = 1.0))
        for (mix in mixes) {
            val entries =
                play(mix) {
                    send("a")
                    readRest(quietMilliseconds = 2_000) shouldNotContain plainBody("i-1.1.1")
                }

            withClue(mix) {
                entries.outcomes["i-1.1.1"] shouldBe Answered(200, plainBody("i-1.1.1"), wroteWhole = false)
                entries.writings.size shouldBe if (mix.cutShort > 0) 1 else 0
            }
        }
    }

    @Test
    fun `a second answer in place of a lost one comes only if the mix says so`() {
        val mix = stuttering(StutterMomentKind.AT_ONCE, StutterContent.SmallSuccess).copy(serverError = 1.0, mute = 1.0)
        for (isOn in listOf(true, false)) {
            val entries =
                play(mix.copy(stuttersInsteadOfLost = isOn)) {
                    send("a")
                    readRest(quietMilliseconds = 2_000)
                }

            withClue("switched on: $isOn") {
                entries.writings.map { it.kind } shouldContainExactly if (isOn) listOf(SECOND_ANSWER) else emptyList()
                entries.outcomes["i-1.1.1"] shouldBe Answered(500, "failed i-1.1.1", wroteWhole = false)
            }
        }
    }

    @Test
    fun `bytes beside the answer are in the account in their order`() {
        val kinds =
            mapOf(
                FaultMix(nonsenseBefore = 1.0) to listOf(NONSENSE, TRUE_ANSWER),
                FaultMix(nonsenseInstead = 1.0) to listOf(NONSENSE),
                FaultMix(interim = 1.0) to listOf(INTERIM_ANSWER, TRUE_ANSWER),
            )
        for ((mix, expected) in kinds) {
            val entries =
                play(mix) {
                    send("a")
                    readUntil(if (expected.last() == NONSENSE) "no answer" else plainBody("i-1.1.1"))
                }

            entries.writings.map { it.kind } shouldContainExactly expected
        }
    }

    @Test
    fun `an early answer comes before the body, which is read afterwards`() {
        val entries =
            play(FaultMix(early = 1.0)) {
                sendText("POST /claims/1 HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\n")
                readUntil(plainBody("i-1.1.1"))
                sendText("late")
                send("b")
                readUntil("Request-Id: b\r\n")
            }

        entries.arrivals.map { it.body } shouldContainExactly listOf("late", "claim")
    }

    @Test
    fun `a connection ends after an answer without a length or with a closing field`() {
        for (mix in listOf(FaultMix(untilClose = 1.0), FaultMix(closing = 1.0))) {
            play(mix) {
                send("a")
                readRest() shouldEndWith plainBody("i-1.1.1") + RawCaller.ENDED
            }
        }
    }

    @Test
    fun `a restarted server has its address, a new life and no draining state`() {
        val run = soakRun(seed = 1)
        PlainSoakServer("i-1", "register", run, born = 1).use { server ->
            val address = server.address
            server.drain()
            server.entry() shouldContain "\"state\":\"draining\""

            server.stop()
            server.restart(born = 2)

            server.entry() shouldBe """{"service":"register","version":"v1","address":"$address","zone":"suba",""" +
                """"slots":8,"state":"ready","cold_remaining_ms":0,"born":2,"sequence":1}"""
            RawCaller(server).use {
                it.send("a")
                it.readUntil("Server-Stamp: i-1.2.1\r\n")
            }
        }
    }

    @Test
    fun `the health check tells the instance and is no arrival`() {
        val entries =
            play(FaultMix(serverError = 1.0)) {
                sendText("GET /healthz HTTP/1.1\r\n\r\n")
                readUntil("Instance-Id: i-1\r\n")
            }

        entries.arrivals.shouldBeEmpty()
        entries.outcomes.shouldBeEmpty()
    }

    @Test
    fun `a connection brings the heads that are in the account, in their order`() {
        val mix =
            FaultMix(
                serverError = 0.3,
                refusal = 0.2,
                nonsenseInstead = 0.1,
                nonsenseBefore = 0.1,
                early = 0.1,
                interim = 0.2,
                stutter = 0.8,
                chunked = 0.3,
                longestWorkMilliseconds = 20,
            )
        for (seed in 1L..3L) {
            var text = ""
            val entries =
                play(mix, seed) {
                    repeat(MIXED_REQUESTS) {
                        send("id-$it")
                        text += readRest(quietMilliseconds = 25)
                    }
                    text += readRest(quietMilliseconds = 1_000)
                }

            withClue(seed) {
                entries.writings.count { it.kind == SECOND_ANSWER } shouldBeGreaterThan 5
                heads(text) shouldContainExactly
                    entries.writings.filter { it.status != null }.map { Triple(it.status, it.requestId, it.stamp) }
            }
        }
    }

    @Test
    fun `the same seed draws the same faults and another seed draws others`() {
        val mix = FaultMix(serverError = 0.3, refusal = 0.3, lost = 0.2, stutter = 0.5, longestWorkMilliseconds = 9)
        val plans = { seed: Long -> List(ARRIVALS) { mix.draw(soakRun(seed).randomFor("i-1.1.$it")) } }

        plans(7) shouldBe plans(7)
        plans(7) shouldNotBe plans(8)
        plans(7).map { it.verdict::class }.toSet().size shouldBe 3
        plans(7).count { it.stutter != null } shouldBeGreaterThan ARRIVALS / 4
    }

    /** A seed whose first arrival fails some time after its second answer, if it fails late at all. */
    private fun seedWithLateFailure(mix: FaultMix): Long =
        generateSequence(1L) { it + 1 }.first { seed ->
            val plan = mix.draw(soakRun(seed).randomFor("i-1.1.1")).limitedTo(LIMIT_MILLISECONDS)
            val moment = plan.stutter?.moment as StutterMoment.AfterArrival
            mix.slowFailures == SlowFailures() ||
                moment.milliseconds + CLEARANCE_MILLISECONDS < plan.verdict.extraMilliseconds
        }

    private fun stuttering(
        moment: StutterMomentKind,
        content: StutterContent,
    ) = FaultMix(stutter = 1.0, stutterMoments = persistentListOf(moment), stutterContents = persistentListOf(content))

    /** Lets [caller] speak to a server with [mix], and returns the account afterwards. */
    private fun play(
        mix: FaultMix,
        seed: Long = 1,
        caller: RawCaller.() -> Unit,
    ): AccountEntries {
        val run = soakRun(seed)
        PlainSoakServer("i-1", "register", run, mix).use { server -> RawCaller(server).use(caller) }
        return run.account.snapshot()
    }

    private fun answers(text: String): List<Int> =
        Regex("HTTP/1.1 ([0-9]{3}) ").findAll(text).map { it.groupValues[1].toInt() }.toList()

    /** The status, id and stamp of each head in [text]. */
    private fun heads(text: String): List<Triple<Int?, String?, String?>> =
        Regex("HTTP/1.1 ([0-9]{3}) Answer\r\n(?:Request-Id: (.*)\r\n)?(?:Server-Stamp: (.*)\r\n)?")
            .findAll(text)
            .map { it.groupValues.map { value -> value.ifEmpty { null } } }
            .map { (_, status, requestId, stamp) -> Triple(status?.toInt(), requestId, stamp) }
            .toList()

    private companion object {
        const val MIXED_REQUESTS = 30
        const val LIMIT_MILLISECONDS = 500L
        const val CLEARANCE_MILLISECONDS = 200L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        /** Each answer has a second one that is counted from the arrival. */
        val EARLY =
            FaultMix(
                stutter = 1.0,
                stutterMoments = persistentListOf(StutterMomentKind.AFTER_ARRIVAL),
                stutterContents = persistentListOf(StutterContent.SmallSuccess),
            )
        const val ARRIVALS = 200
    }
}
