package org.acaciaflow.protocol.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField
import kotlin.time.Duration.Companion.minutes
import kotlin.time.measureTime

class ServerSentEventsTest : AnnotationSpec() {
    private val stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\ndata: [DONE]\n\n"

    @Test
    fun `events are found wherever the stream is split`() {
        for (cut in 0..stream.length) {
            val splitter = ServerSentEvents.newSplitter()

            val first = splitter.split(stream.take(cut).encodeToByteString())
            val events = first + splitter.split(stream.drop(cut).encodeToByteString())

            concatenate(events.map { it.bytes }).decodeToString() shouldBe stream
            events.map { it.isEndMark } shouldBe listOf(false, false, true)
            splitter.incomplete shouldBe ByteString()
        }
    }

    @Test
    fun `the incomplete event is kept, byte by byte`() {
        val splitter = ServerSentEvents.newSplitter()

        val events = stream.dropLast(1).flatMap { splitter.split(it.toString().encodeToByteString()) }

        events.size shouldBe 2
        splitter.incomplete.decodeToString() shouldBe "data: [DONE]\n"
        splitter.incompleteSize shouldBe 13
    }

    /** Guards against an event without end whose work grows with the square of its parts and so blocks the event loop. */
    @Test
    fun `an event without end costs the same for each part, however many came before`() {
        val splitter = ServerSentEvents.newSplitter()
        val part = "data".encodeToByteString()

        withClue("2 million parts took longer than a minute") {
            measureTime { repeat(2_000_000) { splitter.split(part) } } shouldBeLessThan 1.minutes
        }
        splitter.incompleteSize shouldBe 8_000_000
    }

    @Test
    fun `a stream without its end mark is incomplete`() {
        val head = AnswerHead(status = 200, persistentListOf(HeaderField("content-type", "text/event-stream")))
        val call = CallHead("POST", "/v1/completions", persistentListOf())

        for (cut in 0..stream.length) {
            val completeness = AnswerCompleteness(call, head)
            stream.take(cut).forEach { completeness.update(it.toString().encodeToByteString()) }

            completeness.isComplete shouldBe stream.take(cut).trimEnd().endsWith("[DONE]")
        }
    }

    @Test
    fun `a response shorter than its declared length is incomplete`() {
        val head = AnswerHead(status = 200, persistentListOf(HeaderField("Content-Length", "3")))
        val completeness = AnswerCompleteness(CallHead("GET", "/", persistentListOf()), head)

        completeness.update("ab".encodeToByteString())

        completeness.isComplete shouldBe false
    }
}
