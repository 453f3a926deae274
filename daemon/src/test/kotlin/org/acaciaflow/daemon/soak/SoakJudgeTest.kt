package org.acaciaflow.daemon.soak

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** Plays hand-made accounts of servers to the judge. */
class SoakJudgeTest : AnnotationSpec() {
    @Test
    fun `a sound run has no breach`() {
        val account =
            account(
                arrival("a", "s1") to answered("one"),
                arrival("b", "s2") to ServerOutcome.Rejected(503),
                arrival("b", "s3", instance = "i-2") to ServerOutcome.Answered(500, "error", true),
                arrival("c", "s4", connection = 2) to answered(STREAM, wroteWhole = false),
                arrival("c", "s5", instance = "i-2") to answered(event(3)),
            )
        val calls =
            listOf(
                call("a", success("s1", "one")),
                call("b", success("s3", "error").copy(status = 500), CallKind.SINGLE_WRITE),
                call("c", success("s4", STREAM), CallKind.RESUMABLE_STREAM),
                call("d", CallOutcome.Answered(503, null, null, "", true), CallKind.SINGLE_WRITE),
                call("e", CallOutcome.Unanswered("closed")),
            )

        judge(account, calls.toPersistentList()).shouldBeEmpty()
    }

    @Test
    fun `a success where the server failed is mixed`() {
        val account = account(arrival("a", "s1") to ServerOutcome.Answered(500, "error", true))

        breachOf(account, call("a", success("s1", "ok"))) shouldBe
            Breach.Mixed("a", "a success where the server gave 500", causedByServer = false)
    }

    @Test
    fun `a success where the server rejected the request is mixed`() {
        val account = account(arrival("a", "s1") to ServerOutcome.Rejected(503))

        breachOf(account, call("a", success("s1", "ok"))).rule shouldBe "MIXED"
    }

    @Test
    fun `a wrong answer that the server wrote first is counted apart`() {
        val account =
            account(arrival("a", "s1") to ServerOutcome.Answered(500, "error", true))
                .withWritings(
                    writing(WritingKind.SECOND_ANSWER, "a", "s1"),
                    writing(WritingKind.TRUE_ANSWER, "a", "s1"),
                )

        breachOf(account, call("a", success("s1", "ok"))).rule shouldBe "MIXED-BY-SERVER"
    }

    @Test
    fun `a body whose cut end the server filled with a second answer is counted apart`() {
        val cut = account(arrival("a", "s1") to answered("whole", wroteWhole = false))
        val filled =
            cut.withWritings(
                writing(WritingKind.TRUE_ANSWER, "a", "s1"),
                writing(WritingKind.SECOND_ANSWER, "a", "s1"),
            )

        breachOf(filled, call("a", success("s1", "whoHT"))).rule shouldBe "MIXED-BY-SERVER"
        breachOf(filled, call("a", success("s1", "who"))).rule shouldBe "MIXED"
        breachOf(cut, call("a", success("s1", "whoHT"))).rule shouldBe "MIXED"
        breachOf(filled, call("a", success("s1", "whoZZ"))).rule shouldBe "MIXED"
        breachOf(filled, call("a", success("s1", "xxxHT"))).rule shouldBe "MIXED"
    }

    @Test
    fun `a late answer that the gateway could have skipped is not counted apart`() {
        val account =
            account(arrival("a", "s1") to ServerOutcome.Answered(500, "error", true))
                .withWritings(
                    writing(WritingKind.TRUE_ANSWER, "a", "s1"),
                    writing(WritingKind.SECOND_ANSWER, "a", "s1"),
                )

        breachOf(account, call("a", success("s1", "ok"))).rule shouldBe "MIXED"
    }

    @Test
    fun `a late answer to an earlier sending on the same connection is not counted apart`() {
        val account =
            account(
                arrival("a", "s1") to ServerOutcome.Rejected(503),
                arrival("a", "s2") to ServerOutcome.Answered(500, "error", true),
            ).withWritings(writing(WritingKind.SECOND_ANSWER, "a", "s1"))

        breachOf(account, call("a", success("s2", "ok"))).rule shouldBe "MIXED"
    }

    @Test
    fun `a success without a stamp is mixed`() {
        breachOf(account(), call("a", success("s", "ok").copy(stamp = null))).rule shouldBe "MIXED"
    }

    @Test
    fun `a success whose stamp no arrival has is mixed`() {
        breachOf(account(), call("a", success("s", "ok"))).rule shouldBe "MIXED"
    }

    @Test
    fun `a success that is not the whole body is mixed`() {
        val account = account(arrival("a", "s1") to answered("whole"))

        breachOf(account, call("a", success("s1", "ok"))).rule shouldBe "MIXED"
    }

    @Test
    fun `a success that visibly ends early is allowed`() {
        val account = account(arrival("a", "s1") to answered("whole"))

        judge(account, persistentListOf(call("a", success("s1", "wh").copy(whole = false)))).shouldBeEmpty()
    }

    @Test
    fun `an answer with the id of another request is mixed`() {
        val account = account(arrival("a", "s1") to answered("one"))

        breachOf(account, call("a", success("s1", "one").copy(requestId = "b"))).rule shouldBe "MIXED"
    }

    @Test
    fun `an answer whose stamp belongs to another request is mixed`() {
        val account = account(arrival("a", "s1") to answered("one"), arrival("b", "s2") to answered("two"))
        val calls = persistentListOf(call("a", success("s2", "two")), call("b", CallOutcome.Unanswered("closed")))

        judge(account, calls).map { it.rule } shouldBe listOf("MIXED")
    }

    @Test
    fun `a failure with another status than the server gave is mixed`() {
        val account = account(arrival("a", "s1") to ServerOutcome.Answered(500, "error", true))

        breachOf(account, call("a", success("s1", "error").copy(status = 504))).rule shouldBe "MIXED"
    }

    @Test
    fun `the answer to a prefill is mixed`() {
        val account = account(arrival("a", "s1").copy(purpose = ArrivalPurpose.PREFILL) to answered("handle"))

        breachOf(account, call("a", success("s1", "handle"))).rule shouldBe "MIXED"
    }

    @Test
    fun `bytes that come while no request waits are mixed`() {
        breachOf(account(), call("a", CallOutcome.Unanswered("closed")).copy(bytesBefore = "x")).rule shouldBe "MIXED"
    }

    @Test
    fun `a request that no caller sent is unasked`() {
        judge(account(arrival("a", "s1") to answered("one")), persistentListOf()).map { it.rule } shouldBe
            listOf("UNASKED")
    }

    @Test
    fun `a request with its method, target or body changed is unasked`() {
        val arrival = arrival("a", "s1")
        for (changed in listOf(arrival.copy(method = "PUT"), arrival.copy(target = "/"), arrival.copy(body = "y"))) {
            breachOf(account(changed to answered("one")), call("a", success("s1", "one"))).rule shouldBe "UNASKED"
        }
    }

    @Test
    fun `a body that breaks off is allowed if it begins as the caller's, and has not run`() {
        val cut = arrival("a", "s1").copy(body = "", bodyIsWhole = false)
        val refused = call("a", CallOutcome.Answered(503, "a", null, "", true), CallKind.SINGLE_WRITE)

        judge(account(cut to null), persistentListOf(refused)).shouldBeEmpty()
        breachOf(account(cut.copy(body = "y") to null), refused).rule shouldBe "UNASKED"
    }

    @Test
    fun `a run from the handle of another request is mixed`() {
        val account = account(arrival("a", "s1").copy(handleOf = "b") to answered("one"))

        breachOf(account, call("a", success("s1", "one"))).rule shouldBe "MIXED"
    }

    @Test
    fun `bytes that are no answer are mixed`() {
        breachOf(account(), call("a", CallOutcome.Malformed("no answer"))).rule shouldBe "MIXED"
    }

    @Test
    fun `an at-most-once request that is run by two servers has run twice`() {
        val account = account(arrival("a", "s1") to answered("one"), arrival("a", "s2", instance = "i-2") to null)

        breachOf(account, call("a", success("s1", "one"), CallKind.SINGLE_WRITE)).rule shouldBe "TWICE"
    }

    @Test
    fun `an at-most-once request that has run and is answered as not run is refused`() {
        val account = account(arrival("a", "s1") to answered("one"))
        for (status in listOf(408, 421, 429, 503)) {
            val answer = CallOutcome.Answered(status, "a", null, "", true)
            breachOf(account, call("a", answer, CallKind.SINGLE_WRITE)).rule shouldBe "REFUSED"
        }
    }

    @Test
    fun `missing, repeated, swapped and foreign events break the order`() {
        val account = account(arrival("a", "s1") to answered(STREAM))
        val faulty =
            listOf(
                event(1) + event(2),
                event(1) + event(3),
                event(1) + event(1) + event(2) + event(3),
                event(1) + event(3) + event(2),
                event(1) + event(2, "other") + event(3),
                STREAM + "data: without an id\n\n",
            )
        for (body in faulty) {
            breachOf(account, call("a", success("s1", body), CallKind.STREAM)).rule shouldBe "ORDER"
        }
    }

    @Test
    fun `a stream that visibly breaks off is allowed, with a gap it is not`() {
        val account = account(arrival("a", "s1") to answered(STREAM))
        val cut = call("a", success("s1", event(1) + "id: 2\nda").copy(whole = false), CallKind.STREAM)
        val gap = call("a", success("s1", event(1) + event(3)).copy(whole = false), CallKind.STREAM)

        judge(account, persistentListOf(cut)).shouldBeEmpty()
        breachOf(account, gap).rule shouldBe "ORDER"
    }

    @Test
    fun `a stream that a caller resumes has the events after the last one it got`() {
        val rest = account(arrival("a", "s1").copy(resumeAfter = "1") to answered(event(2) + event(3)))
        val whole = account(arrival("a", "s1") to answered(STREAM))
        val ended = account(arrival("a", "s1").copy(resumeAfter = "3") to answered(""))
        val resumed = { answer: CallOutcome -> call("a", answer, CallKind.RESUMABLE_STREAM).copy(resumeAfter = 1) }

        judge(rest, persistentListOf(resumed(success("s1", event(2) + event(3))))).shouldBeEmpty()
        judge(ended, persistentListOf(resumed(success("s1", "")).copy(resumeAfter = 3))).shouldBeEmpty()
        breachOf(whole, resumed(success("s1", STREAM))).rule shouldBe "ORDER"
        breachOf(rest, resumed(success("s1", ""))).rule shouldBe "ORDER"
    }

    @Test
    fun `a stream that may not be resumed has the events of one run`() {
        val account =
            account(
                arrival("a", "s1") to answered(STREAM),
                arrival("a", "s2") to ServerOutcome.Rejected(503),
            )
        val joined = event(1) + event(2, "other") + event(3, "other")

        breachOf(account, call("a", success("s1", joined), CallKind.STREAM)).rule shouldBe "ORDER"
    }

    @Test
    fun `the report of a breach has the arrivals, outcomes and writings of its connections`() {
        val account =
            account(
                arrival("a", "s1") to ServerOutcome.Answered(500, "error", true),
                arrival("b", "s2") to answered("two"),
            ).withWritings(writing(WritingKind.SECOND_ANSWER, "a", "s1"))
        val calls = persistentListOf(call("a", success("s1", "ok")), call("b", success("s2", "two")))

        val report = reportOf(judge(account, calls).single(), account, calls)

        report shouldContain "MIXED-BY-SERVER a: a success where the server gave 500"
        report shouldContain "wrote SECOND_ANSWER status=200 id=a stamp=s1"
        report shouldContain "read RUN id=b stamp=s2"
    }

    private fun breachOf(
        account: AccountEntries,
        call: CallRecord,
    ): Breach = judge(account, persistentListOf(call)).single()

    private fun call(
        id: String,
        outcome: CallOutcome,
        kind: CallKind = CallKind.READ,
    ): CallRecord = CallRecord(id, kind, "POST", "/target", "x", "front-1", 0, 10, outcome)

    private fun success(
        stamp: String,
        body: String,
    ): CallOutcome.Answered = CallOutcome.Answered(200, null, stamp, body, whole = true)

    private fun arrival(
        id: String,
        stamp: String,
        instance: String = "i-1",
        connection: Long = 1,
    ): ServerArrival =
        ServerArrival(instance, connection, stamp, id, ArrivalPurpose.RUN, "POST", "/target", "x", null, 1)

    private fun answered(
        body: String,
        wroteWhole: Boolean = true,
    ) = ServerOutcome.Answered(200, body, wroteWhole)

    private fun writing(
        kind: WritingKind,
        id: String,
        stamp: String,
    ) = ServerWriting("i-1", 1, kind, id, stamp, 200, 2)

    private fun account(vararg runs: Pair<ServerArrival, ServerOutcome?>): AccountEntries =
        AccountEntries(
            runs.map { it.first }.toPersistentList(),
            runs.mapNotNull { (arrival, outcome) -> outcome?.let { arrival.stamp to it } }.toMap().toPersistentMap(),
            persistentListOf(),
        )

    private fun AccountEntries.withWritings(vararg writings: ServerWriting) =
        copy(writings = writings.toList().toPersistentList())

    private fun event(
        id: Int,
        data: String = "token",
    ): String = "id: $id\ndata: $data $id\n\n"

    private companion object {
        const val STREAM = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n"
    }
}
