package org.acaciaflow.protocol.execution

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField
import kotlin.coroutines.coroutineContext
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Guards against lost or repeated bytes when a stream breaks at any position and resumes in a new attempt. */
@OptIn(ExperimentalCoroutinesApi::class)
class StreamResumeTest : AnnotationSpec() {
    private val events = (0..5).map { "data: {\"token\":$it}\n\n" }
    private val whole = events.joinToString("") + "data: [DONE]\n\n"

    @Test
    fun `a stream cut off at any position is resumed without loss or repetition`() {
        for (cut in 0..whole.length) {
            val exchange = serve(listOf(cut))

            withClue("cut at $cut") {
                exchange.received shouldBe whole
                exchange.completed shouldBe true
            }
        }
    }

    @Test
    fun `a stream cut off several times is resumed each time`() {
        println("seed $SEED")
        val random = Random(SEED)
        repeat(200) {
            val cuts = List(3) { random.nextInt(whole.length + 1) }

            val exchange = serve(cuts)

            withClue("cuts at $cuts") { exchange.received shouldBe whole }
        }
    }

    @Test
    fun `a stream that breaks in every attempt is aborted instead of ended normally`() {
        val exchange = serve(List(10) { 30 })

        exchange.completed shouldBe false
        exchange.aborted shouldBe true
        whole.startsWith(exchange.received) shouldBe true
    }

    /** Guards against an error's text in the middle of a stream, or a stream that it ends as if complete. */
    @Test
    fun `an error in place of the rest of a stream does not reach the caller`() {
        val types = listOf("text/plain", "text/event-stream")
        for (type in types) {
            for (cut in 0 until whole.length) {
                val exchange = serve(listOf(cut), TruncatingConnections(listOf(cut), failure = errorOf(type)))

                withClue("$type, cut at $cut") {
                    exchange.received shouldBe whole
                    exchange.heads shouldBe 1
                    exchange.completed shouldBe true
                }
            }
        }
    }

    /** Serves one call; attempt n, counted from 0, breaks after `cuts[n]` bytes of the remaining stream. */
    private fun serve(
        cuts: List<Int>,
        connections: TruncatingConnections = TruncatingConnections(cuts),
    ): FakeCallerExchange {
        val exchange = FakeCallerExchange(claim = "", target = "/v1/completions")
        runTest {
            val clock =
                object : Clock {
                    override fun now(): Instant = Instant.fromEpochMilliseconds(currentTime)
                }
            val random = Random(SEED)
            val store = FakeKeyValueStore(this, random, faultRate = 0.0)
            val sidecars = FakeSidecars(this, random, faultRate = 0.0)
            FakeGateway(0, 1, this, store, connections, sidecars::registerIn, clock, random).accept(exchange)
            delay(SERVING_MILLISECONDS)
            coroutineContext.cancelChildren()
        }
        return exchange
    }

    private fun errorOf(type: String): List<AttemptEvent> =
        listOf(
            AttemptEvent.Head(AnswerHead(status = 500, persistentListOf(HeaderField("Content-Type", type)))),
            AttemptEvent.Data("data: error\n\n".encodeToByteString()),
            AttemptEvent.End,
        )

    /** Attempts are cut off at [cuts]; the one after the first gets [failure], if any. */
    private inner class TruncatingConnections(
        private val cuts: List<Int>,
        private val failure: List<AttemptEvent>? = null,
    ) : SidecarConnections {
        private var attempts = 0

        override suspend fun open(
            order: AttemptOrder,
            body: CallBody,
        ): AttemptStream {
            val text = events.drop(order.resumeFromToken).joinToString("") + "data: [DONE]\n\n"
            val cut = cuts.getOrNull(attempts)
            attempts += 1
            if (failure != null && attempts == 2) return TruncatedStream(failure)
            return TruncatedStream(parts(text, cut))
        }

        override suspend fun settle(
            attempt: AttemptIdentity,
            sidecar: ProcessIdentity,
            timeout: Duration,
        ): SettleAnswer = SettleAnswer.Unreachable

        private fun parts(
            text: String,
            cut: Int?,
        ): List<AttemptEvent> {
            val sent = if (cut == null) text else text.take(cut)
            val data = sent.chunked(PART_BYTES).map { AttemptEvent.Data(it.encodeToByteString()) }
            val last = if (cut == null) AttemptEvent.End else AttemptEvent.Broken(MayHaveRun.LINK_LOST)
            return listOf(HEAD) + data + last
        }
    }

    private class TruncatedStream(
        private var parts: List<AttemptEvent>,
    ) : AttemptStream {
        override suspend fun next(): AttemptEvent {
            val next = parts.first()
            parts = parts.drop(1)
            return next
        }

        override fun cancel() = Unit
    }

    private companion object {
        const val SEED = 4208
        const val SERVING_MILLISECONDS = 4000L
        const val PART_BYTES = 7
        val HEAD =
            AttemptEvent.Head(
                AnswerHead(status = 200, persistentListOf(HeaderField("Content-Type", "text/event-stream"))),
            )
    }
}
