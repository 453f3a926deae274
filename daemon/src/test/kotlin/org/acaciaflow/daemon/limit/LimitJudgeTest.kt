package org.acaciaflow.daemon.limit

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Plays hand-made accounts of one server to the judge; the server allows 20 requests in 4 s when it names 2.5. */
class LimitJudgeTest : AnnotationSpec() {
    @Test
    fun `requests up to the bound are no breach, one more is`() {
        val within = arrivals("a", from = 4_000, until = 8_000, count = 20)
        val answers = listOf(LimitAnswer("a", 1_000, LIMIT))

        judge(within, answers).worst shouldBe LimitWindow(4_000, 20, 20.0)
        judge(within + LimitArrival("a", 7_999), answers).worst?.isExceeded shouldBe true
    }

    @Test
    fun `requests of several machines are summed`() {
        val arrivals = arrivals("a", 4_000, 8_000, 15) + arrivals("b", 4_000, 8_000, 15)
        val answers = listOf("a", "b").map { LimitAnswer(it, 1_000, LIMIT) }

        judge(arrivals, answers).worst?.requests shouldBe 30
    }

    @Test
    fun `a machine counts from half a second after the first answer that names a limit to it`() {
        val arrivals = arrivals("a", 5_000, 9_000, 4) + arrivals("b", 5_000, 9_000, 8)
        val answers = listOf(LimitAnswer("a", 1_000, LIMIT), LimitAnswer("b", 6_500, LIMIT))

        judge(arrivals, answers).windows.first().requests shouldBe 4 + 4
    }

    @Test
    fun `the rule begins three seconds after the limit was first named`() {
        val arrivals = arrivals("a", 1_500, 3_999, 100)

        val judge = judge(arrivals, listOf(LimitAnswer("a", 1_000, LIMIT)))

        judge.windows.shouldBeEmpty()
        judge.windowsWithEarlier.first().requests shouldBe 100
    }

    @Test
    fun `the rule ends with the limit`() {
        val arrivals = arrivals("a", 4_500, 12_000, 300)
        val answers = listOf(LimitAnswer("a", 1_000, LIMIT), LimitAnswer("a", 4_400, null))

        judge(arrivals, answers).windows.shouldBeEmpty()
    }

    @Test
    fun `the larger limit holds until three seconds after a fall`() {
        val arrivals = arrivals("a", 4_500, 12_000, 30)
        val answers = listOf(LimitAnswer("a", 1_000, 10.0), LimitAnswer("a", 5_000, LIMIT))

        val windows = judge(arrivals, answers).windows

        windows.filter { it.fromMilliseconds < 8_000 }.map { it.allowed }.distinct() shouldBe listOf(65.0)
        windows.filter { it.fromMilliseconds >= 8_000 }.map { it.allowed }.distinct() shouldBe listOf(20.0)
    }

    @Test
    fun `an excused machine counts again once it was told again`() {
        val excused = persistentListOf(ExcusedMachine("a", 2_000, 6_000))
        val arrivals = arrivals("a", 4_000, 8_000, 8)
        val first = LimitAnswer("a", 1_000, LIMIT)

        LimitJudge(entries(arrivals, listOf(first)), excused).windows.shouldBeEmpty()
        LimitJudge(entries(arrivals, listOf(first, LimitAnswer("a", 6_000, LIMIT))), excused).worst?.requests shouldBe 3
    }

    private fun judge(
        arrivals: List<LimitArrival>,
        answers: List<LimitAnswer>,
    ) = LimitJudge(entries(arrivals, answers))

    private fun entries(
        arrivals: List<LimitArrival>,
        answers: List<LimitAnswer>,
    ) = LimitEntries(arrivals.sortedBy { it.atMilliseconds }.toPersistentList(), answers.toPersistentList())

    /** [count] requests of [machine] in equal steps from [from] to before [until]. */
    private fun arrivals(
        machine: String,
        from: Long,
        until: Long,
        count: Int,
    ): List<LimitArrival> = List(count) { LimitArrival(machine, from + it * (until - from) / count) }

    private companion object {
        const val LIMIT = 2.5
    }
}
