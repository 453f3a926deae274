package org.acaciaflow.daemon.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

/** Counts the wrong answers and the plain service of hand-made accounts. */
class WrongAnswerTest : AnnotationSpec() {
    @Test
    fun `a wrong answer is counted by how the server ended the run`() {
        val endings =
            mapOf(
                Pair(500, Delivery.Whole) to RunEnding.SERVER_ERROR,
                Pair(504, Delivery.Whole) to RunEnding.TIME_LIMIT,
                Pair(504, Delivery.Mute) to RunEnding.HANG,
                Pair(500, Delivery.Lost(closes = true)) to RunEnding.LOST,
                Pair(500, Delivery.Reset) to RunEnding.LOST,
                Pair(200, Delivery.Mute) to RunEnding.SOUND,
            )
        for ((run, ending) in endings) {
            val (status, delivery) = run
            val outcome = ServerOutcome.Answered(status, "whole", wroteWhole = false)
            val entries =
                AccountEntries(
                    arrivals = persistentListOf(arrival("a", "i-1.1.1")),
                    outcomes = persistentMapOf("i-1.1.1" to outcome),
                    plans = persistentMapOf("i-1.1.1" to plan(delivery)),
                )

            withClue(run) { wrongAnswerOf(entries, call("a", "i-1.1.1")).ending shouldBe ending }
        }
    }

    @Test
    fun `a wrong answer to a request that was not run or whose stamp is unknown has no run`() {
        val entries =
            AccountEntries(
                arrivals = persistentListOf(arrival("a", "i-1.1.1")),
                outcomes = persistentMapOf("i-1.1.1" to ServerOutcome.Rejected(503)),
            )

        wrongAnswerOf(entries, call("a", "i-1.1.1")).ending shouldBe RunEnding.NO_RUN
        wrongAnswerOf(entries, call("a", "i-1.1.2")).ending shouldBe RunEnding.NO_RUN
    }

    // Guards against successes that stand alone being counted with those that a failure contradicts.
    @Test
    fun `a wrong answer is counted by what came behind it, and apart if its request was sent before`() {
        val kinds =
            mapOf(
                Pair(500, Delivery.Whole) to WrongAnswerKind.BEFORE_SERVER_ERROR,
                Pair(504, Delivery.Whole) to WrongAnswerKind.BEFORE_TIME_LIMIT,
                Pair(504, Delivery.Mute) to WrongAnswerKind.ALONE,
                Pair(500, Delivery.Lost(closes = true)) to WrongAnswerKind.ALONE,
                Pair(200, Delivery.Whole) to WrongAnswerKind.OTHER,
            )
        for ((run, kind) in kinds) {
            val (status, delivery) = run
            val entries =
                AccountEntries(
                    arrivals = persistentListOf(arrival("a", "i-1.1.1")),
                    outcomes = persistentMapOf("i-1.1.1" to ServerOutcome.Answered(status, "whole", false)),
                    plans = persistentMapOf("i-1.1.1" to plan(delivery)),
                )
            val resent = entries.copy(arrivals = entries.arrivals.add(0, arrival("a", "i-2.1.1", "i-2")))

            withClue(run) {
                wrongAnswerOf(entries, call("a", "i-1.1.1")).kind shouldBe kind
                wrongAnswerOf(resent, call("a", "i-1.1.1")).kind shouldBe WrongAnswerKind.AFTER_RESEND
                wrongAnswerOf(resent, call("a", "i-2.1.1")).kind shouldBe WrongAnswerKind.OTHER
            }
        }
    }

    @Test
    fun `a wrong answer is the first of a server's life if that life wrote no second answer before`() {
        val second = { stamp: String -> writing("a", stamp, at = 1).copy(kind = WritingKind.SECOND_ANSWER) }
        val first =
            mapOf(
                listOf("i-1.1.9") to true,
                listOf("i-1.1.9", "i-1.1.1") to true,
                listOf("i-1.2.1", "i-2.1.1", "i-1.1.9") to true,
                listOf("i-1.1.1", "i-1.1.9") to false,
                emptyList<String>() to false,
            )
        for ((stamps, isFirst) in first) {
            val entries =
                AccountEntries(
                    arrivals = persistentListOf(arrival("a", "i-1.1.9")),
                    writings = stamps.map(second).toPersistentList(),
                )

            withClue(stamps) { wrongAnswerOf(entries, call("a", "i-1.1.9")).isFirstOfLife shouldBe isFirst }
        }
    }

    @Test
    fun `a wrong answer is counted by the kind of its route`() {
        val routes =
            mapOf(
                CallKind.READ to RouteKind.REPEATABLE,
                CallKind.REPEATABLE_WRITE to RouteKind.REPEATABLE,
                CallKind.SINGLE_WRITE to RouteKind.AT_MOST_ONCE,
                CallKind.STREAM to RouteKind.STREAM,
                CallKind.RESUMABLE_STREAM to RouteKind.STREAM,
            )
        for ((kind, route) in routes) {
            withClue(kind) { wrongAnswerOf(AccountEntries(), call("a", "s", kind = kind)).route shouldBe route }
        }
    }

    @Test
    fun `a gateway is warned by a surplus answer of the same life that was written before the request came`() {
        val wrong = arrival("a", "i-1.1.9", at = 100)
        val warnings =
            mapOf(
                listOf(writing("x", "i-1.1.1", at = 10), writing("x", "i-1.1.1", at = 99)) to Warning.SAME_GATEWAY,
                listOf(writing("y", "i-1.1.1", at = 10), writing("y", "i-1.1.1", at = 99)) to Warning.OTHER_GATEWAY,
                listOf(writing("x", "i-1.1.1", at = 10), writing("x", "i-1.1.1", at = 100)) to Warning.NONE,
                listOf(writing("x", "i-1.2.1", at = 10), writing("x", "i-1.2.1", at = 99)) to Warning.NONE,
                listOf(writing("x", "i-2.1.1", at = 10), writing("x", "i-2.1.1", at = 99)) to Warning.NONE,
                listOf(writing("x", "i-1.1.1", at = 99)) to Warning.NONE,
            )
        for ((writings, warning) in warnings) {
            val entries = AccountEntries(persistentListOf(wrong), writings = writings.toPersistentList())
            val calls = listOf(call("a", wrong.stamp), call("x", null), call("y", null, gateway = "front-2"))

            withClue(writings) {
                wrongAnswers(listOf(mixed("a")), entries, calls).single().warning shouldBe warning
            }
        }
    }

    @Test
    fun `the plain service has the sound successes by servers and the times of their callers`() {
        val entries =
            AccountEntries(
                arrivals = persistentListOf(arrival("a", "i-1.1.1"), arrival("b", "i-2.1.1", "i-2")),
                plans =
                    persistentMapOf(
                        "i-1.1.1" to plan(Delivery.Whole, Stutter(StutterMoment.AtOnce, StutterContent.SmallSuccess)),
                        "i-2.1.1" to plan(Delivery.Whole),
                    ),
            )
        val sound = List(19) { call("b$it", "i-2.1.1", took = it + 1L) } + call("a", "i-1.1.1", took = 20)
        val others =
            listOf(
                call("c", "i-1.1.1", took = 900),
                call("d", "i-1.1.1", kind = CallKind.STREAM, took = 900),
                call("e", null, took = 900),
            )

        plainService(listOf(mixed("c")), entries, sound + others) shouldBe PlainService(1, 19, 10, 19)
        plainService(emptyList(), entries, emptyList()) shouldBe PlainService(0, 0, null, null)
    }

    private fun wrongAnswerOf(
        entries: AccountEntries,
        call: CallRecord,
    ): WrongAnswer = wrongAnswers(listOf(mixed(call.requestId)), entries, listOf(call)).single()

    private fun mixed(id: String) = Breach.Mixed(id, "a success where the server failed", causedByServer = true)

    /** A call that got a whole success with [stamp], or no answer if that is null. */
    private fun call(
        id: String,
        stamp: String?,
        kind: CallKind = CallKind.READ,
        gateway: String = "front-1",
        took: Long = 1,
    ): CallRecord {
        val outcome =
            when (stamp) {
                null -> CallOutcome.Unanswered("closed")
                else -> CallOutcome.Answered(200, id, stamp, "ok", whole = true)
            }
        return CallRecord(id, kind, "POST", "/target", "x", gateway, 0, took, outcome)
    }

    private fun arrival(
        id: String,
        stamp: String,
        instance: String = "i-1",
        at: Long = 1,
    ) = ServerArrival(instance, 1, stamp, id, ArrivalPurpose.RUN, "POST", "/target", "x", null, at)

    private fun writing(
        id: String,
        stamp: String,
        at: Long,
    ) = ServerWriting("i-1", 1, WritingKind.TRUE_ANSWER, id, stamp, 200, at)

    private fun plan(
        delivery: Delivery,
        stutter: Stutter? = null,
    ) = ArrivalPlan(Verdict.Success, delivery, stutter, Framing.LENGTH, false, 0, false)
}
