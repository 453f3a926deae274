package org.acaciaflow.daemon.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldEndWith
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.daemon.soak.ServerOutcome.Answered

/** Reads second answers with a body of their own from a plain soak server with a raw socket. */
class OwnSecondAnswerTest : AnnotationSpec() {
    // Guards against mixes whose second answers can be told from true ones by their fields, or by bodies that return.
    @Test
    fun `a second answer with an own body and the head of a true success differs in the body only`() {
        for (length in OwnLength.entries) {
            val mix = stuttering(StutterContent.OwnBody(OwnHead.TRUE_FORM, length))
            val texts = List(2) { index -> readTwoAnswers(mix, "i-$index") }

            for ((truth, second) in texts) {
                withClue(length) {
                    fieldNames(second) shouldContainExactly fieldNames(truth)
                    second.body shouldNotBe truth.body
                    second.body.length shouldBe if (length == OwnLength.SHORT) 2 else truth.body.length
                }
            }
            texts.map { (_, second) -> second.body }.toSet().size shouldBe 2
        }
    }

    // Guards against a bare head that has more than the bench's second answers.
    @Test
    fun `a bare second answer has a stamp, an id and a length only`() {
        val bare = StutterContent.OwnBody(OwnHead.BARE, OwnLength.SHORT)

        val (truth, second) = readTwoAnswers(stuttering(bare), "i-1")

        fieldNames(second) shouldContainExactly listOf("Server-Stamp", "Request-Id", "Content-Length")
        fieldNames(truth) shouldContainExactly
            listOf("Request-Id", "Server-Stamp", "Content-Type", "Server-Load", "Content-Length")
        second.body.length shouldBe 2
    }

    // Guards against lone successes whose connection ends long behind them only.
    @Test
    fun `a connection whose failure is lost soon ends soon behind the second answer`() {
        val content = StutterContent.OwnBody(OwnHead.TRUE_FORM, OwnLength.SHORT)
        val mix = stuttering(content).copy(slowFailures = SlowFailures(lostSoon = 1.0))
        val plans = List(ARRIVALS) { mix.draw(soakRun(7).randomFor("i-1.1.$it")) }

        for (plan in plans) {
            plan.verdict.extraMilliseconds shouldBeInRange 100L..140L
            (plan.stutter?.moment as StutterMoment.AfterArrival).milliseconds shouldBeInRange 60L..100L
        }
        val run = soakRun(seed = 1)
        PlainSoakServer("i-1", "register", run, mix).use { server ->
            RawCaller(server).use {
                it.send("a")
                val text = it.readRest()
                text.split(SUCCESS_START).size shouldBe 2
                text shouldEndWith RawCaller.ENDED
            }
        }
        run.account.snapshot().outcomes["i-1.1.1"] shouldBe Answered(500, "failed i-1.1.1", wroteWhole = false)
    }

    /** The true answer and the second one behind it that the server [instance] with [mix] gives to its first request. */
    private fun readTwoAnswers(
        mix: FaultMix,
        instance: String,
    ): List<String> {
        var text = ""
        PlainSoakServer(instance, "register", soakRun(seed = 1), mix).use { server ->
            RawCaller(server).use {
                it.send("a")
                text = it.readAnswers(2)
            }
        }
        return text.split(SUCCESS_START).drop(1)
    }

    private fun fieldNames(answer: String): List<String> =
        answer.substringBefore("\r\n\r\n").lines().map { it.substringBefore(':') }

    private val String.body: String get() = substringAfter("\r\n\r\n")

    private fun stuttering(content: StutterContent) =
        FaultMix(
            stutter = 1.0,
            stutterMoments = persistentListOf(StutterMomentKind.SOON_AFTER_ARRIVAL),
            stutterContents = persistentListOf(content),
        )

    private companion object {
        const val ARRIVALS = 200
        const val SUCCESS_START = "HTTP/1.1 200 Answer\r\n"
    }
}
