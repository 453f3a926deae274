package org.acaciaflow.daemon.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.daemon.soak.ServerOutcome.Answered
import org.acaciaflow.daemon.soak.ServerOutcome.Rejected

/** Drives a prefill engine and a decode engine with raw sockets and compares what they wrote with their account. */
class EngineSoakServerTest : AnnotationSpec() {
    @Test
    fun `a handle of a prefill is taken by one run, which streams its events`() {
        val entries =
            play { prefill, decode ->
                val source = "${prefill.address}/${handleIn(prefill.callForPrefill("a"))}"
                decode.call("a", "Kv-Source: $source") shouldContain "Content-Type: text/event-stream\r\n"
                decode.call("b", "Kv-Source: $source") shouldContain "Not-Executed: 1\r\n"
            }

        entries.arrivals.map { it.purpose to it.handleOf } shouldContainExactly
            listOf(ArrivalPurpose.PREFILL to null, ArrivalPurpose.RUN to "a", ArrivalPurpose.RUN to null)
        entries.outcomes["decode.1.1"] shouldBe Answered(200, events(1..4), wroteWhole = true)
        entries.outcomes["decode.1.2"] shouldBe Rejected(503)
    }

    @Test
    fun `a released handle and the handle of a failed prefill cannot be taken`() {
        play { prefill, decode ->
            val released = handleIn(prefill.callForPrefill("a"))
            RawCaller(prefill).use {
                it.sendText("DELETE /-/kv-handle/$released HTTP/1.1\r\n\r\n")
                it.readAnswers(1) shouldStartWith "HTTP/1.1 200 "
            }
            prefill.mix = FaultMix(serverError = 1.0)
            prefill.callForPrefill("b") shouldStartWith "HTTP/1.1 500 "

            for (handle in listOf(released, "prefill-1-2")) {
                decode.call("c", "Kv-Source: ${prefill.address}/$handle") shouldStartWith "HTTP/1.1 503 "
            }
        }
    }

    @Test
    fun `a decode engine that loses handles rejects the run and has it so in its account`() {
        val entries =
            play { prefill, decode ->
                decode.mix = FaultMix(handleLost = 1.0)
                val source = "${prefill.address}/${handleIn(prefill.callForPrefill("a"))}"
                decode.call("a", "Kv-Source: $source") shouldStartWith "HTTP/1.1 503 "
            }

        entries.outcomes["decode.1.1"] shouldBe Rejected(503)
    }

    @Test
    fun `the wrong stage is rejected with 421 and the instance`() {
        val entries =
            play { prefill, decode ->
                prefill.call("a") shouldContain "Instance-Id: prefill\r\n"
                decode.callForPrefill("b") shouldContain "Instance-Id: decode\r\n"
            }

        entries.outcomes.values.toList() shouldContainExactly listOf(Rejected(421), Rejected(421))
    }

    @Test
    fun `a run that is resumed at another engine goes on with the same events`() {
        play { _, decode ->
            val whole = decode.call("a")
            val rest = decode.call("a", "Last-Event-Id: 2")

            eventsIn(whole) shouldBe events(1..4)
            eventsIn(rest) shouldBe events(3..4)
        }
    }

    @Test
    fun `a stream that is cut short ends inside an event and is so in the account`() {
        val entries =
            play { _, decode ->
                decode.mix = FaultMix(cutShort = 1.0)
                val text = decode.call("a")

                text shouldContain "id: 1\n"
                text shouldNotContain "id: 4\n"
                text shouldNotContain "\r\n0\r\n\r\n"
                Regex("(data: )?[-0-9]*(<ended>|<reset>)$").containsMatchIn(text) shouldBe true
            }

        entries.outcomes["decode.1.1"] shouldBe Answered(200, events(1..4), wroteWhole = false)
    }

    @Test
    fun `a second answer beside a failed run can be the whole stream`() {
        val whole =
            FaultMix(
                serverError = 1.0,
                stutter = 1.0,
                stutterMoments = persistentListOf(StutterMomentKind.AT_ONCE),
                stutterContents = persistentListOf(StutterContent.WholeSuccess),
            )
        val entries =
            play { _, decode ->
                decode.mix = whole
                val text = decode.call("a", answers = 2)

                text shouldStartWith "HTTP/1.1 500 "
                text shouldEndWith "\r\n0\r\n\r\n"
                eventsIn(text) shouldBe events(1..4)
            }

        entries.outcomes["decode.1.1"] shouldBe Answered(500, "failed decode.1.1", wroteWhole = true)
        entries.writings.map { it.kind to it.status } shouldContainExactly
            listOf(WritingKind.TRUE_ANSWER to 500, WritingKind.SECOND_ANSWER to 200)
    }

    @Test
    fun `a second answer counted from the arrival never comes inside a stream`() {
        val early =
            FaultMix(
                stutter = 1.0,
                stutterMoments = persistentListOf(StutterMomentKind.AFTER_ARRIVAL),
                stutterContents = persistentListOf(StutterContent.SmallSuccess),
            )
        play { _, decode ->
            decode.mix = early
            val text =
                RawCaller(decode).use {
                    it.send("a", body = "events=150 prompt", target = TARGET)
                    it.readAnswers(2)
                }

            text.substringBeforeLast("HTTP/1.1 200 ") shouldEndWith "\r\n0\r\n\r\n"
            text shouldEndWith "\r\n\r\nok"
        }
    }

    @Test
    fun `prefills and refusals have second answers too`() {
        val entries =
            play { prefill, decode ->
                val stuttering =
                    FaultMix(
                        stutter = 1.0,
                        stutterMoments = persistentListOf(StutterMomentKind.SAME_WRITE),
                        stutterContents = persistentListOf(StutterContent.SmallSuccess),
                    )
                prefill.mix = stuttering
                decode.mix = stuttering.copy(refusal = 1.0)
                prefill.call("a", "Serving-Stage: prefill", answers = 2)
                prefill.call("b", answers = 2)
                decode.call("c", answers = 2)
            }

        entries.writings.map { Triple(it.kind, it.stamp, it.status) } shouldContainExactly
            listOf("prefill.1.1" to 200, "prefill.1.2" to 421, "decode.1.1" to 503).flatMap { (stamp, status) ->
                listOf(
                    Triple(WritingKind.TRUE_ANSWER, stamp, status),
                    Triple(WritingKind.SECOND_ANSWER, stamp, 200),
                )
            }
    }

    @Test
    fun `the report and the entry tell the stage`() {
        play { prefill, decode ->
            prefill.callForPrefill("a")
            for (server in listOf(prefill, decode)) {
                RawCaller(server).use {
                    it.sendText("GET /-/report HTTP/1.1\r\n\r\n")
                    val handles = if (server == prefill) 1 else 0
                    val report = it.readAnswers(1)
                    withClue(server.instance) {
                        report shouldContain "\"stage\":\"${server.instance}\""
                        report shouldContain "\"kv_handles\":$handles}"
                        server.entry() shouldContain "\"stage\":\"${server.instance}\""
                    }
                }
            }
        }
    }

    /** Lets [callers] speak to a prefill engine and a decode engine, and returns the account afterwards. */
    private fun play(callers: (EngineSoakServer, EngineSoakServer) -> Unit): AccountEntries {
        val run = soakRun(seed = 1)
        EngineSoakServer("prefill", "model", EngineStage.PREFILL, run).use { prefill ->
            EngineSoakServer("decode", "model", EngineStage.DECODE, run).use { decode -> callers(prefill, decode) }
        }
        return run.account.snapshot()
    }

    private fun EngineSoakServer.callForPrefill(requestId: String) = call(requestId, "Serving-Stage: prefill")

    private fun EngineSoakServer.call(
        requestId: String,
        vararg fields: String,
        answers: Int = 1,
    ): String =
        RawCaller(this).use {
            it.send(requestId, body = BODY, fields = fields.toList(), target = TARGET)
            it.readAnswers(answers)
        }

    private fun handleIn(answer: String): String = answer.substringAfter("\"kv_handle\":\"").substringBefore('"')

    /** The events in [text], without the frames of the chunks. */
    private fun eventsIn(text: String): String =
        Regex("id: [0-9]+\ndata: [-0-9]+\n\n").findAll(text).joinToString("") { it.value }

    /** The events with the numbers in [range] of the answer to the request that all callers send. */
    private fun events(range: IntRange): String {
        val arrival =
            ServerArrival("i", 1, "stamp", "a", ArrivalPurpose.RUN, "POST", TARGET, BODY, "${range.first - 1}", 0)
        return eventsOf(arrival).joinToString("")
    }

    private companion object {
        const val TARGET = "/generate/1"
        const val BODY = "events=4 prompt"
    }
}
