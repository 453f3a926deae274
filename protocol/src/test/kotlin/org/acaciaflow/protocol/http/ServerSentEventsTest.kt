package org.acaciaflow.protocol.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField

class ServerSentEventsTest : AnnotationSpec() {
    private val stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\ndata: [DONE]\n\n"

    @Test
    fun `events are found wherever the stream is split`() {
        for (cut in 0..stream.length) {
            val first = ServerSentEvents.split(stream.take(cut).encodeToByteString())
            val rest = concatenate(listOf(first.rest, stream.drop(cut).encodeToByteString()))
            val second = ServerSentEvents.split(rest)

            val events = first.events + second.events

            concatenate(events.map { it.bytes }).decodeToString() shouldBe stream
            events.map { it.isEndMark } shouldBe listOf(false, false, true)
            second.rest shouldBe ByteString()
        }
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
