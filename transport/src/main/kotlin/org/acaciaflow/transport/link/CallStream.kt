package org.acaciaflow.transport.link

import kotlinx.coroutines.channels.Channel
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.AnswerSink
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.toWire
import org.acaciaflow.state.work.AnswerHead

/** The sidecar's end of one attempt: receives the call's body from the gateway and sends the answer. */
internal class CallStream(
    private val reply: (FrameBody) -> Boolean,
    override val buffered: ByteString,
    override val whole: Boolean,
) : CallBody,
    AnswerSink {
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private val credit = ReadCredit()
    private val window = StreamWindow()

    /** Bytes of the answer's body sent so far. */
    var sentBytes: Long = 0
        private set

    override suspend fun next(): BodyPart {
        val part = parts.receive()
        if (part is BodyPart.Data) {
            val grant = credit.consume(part.bytes.size)
            if (grant > 0) reply(FrameBody.Credit(grant))
        }
        return part
    }

    override suspend fun head(head: AnswerHead) {
        reply(FrameBody.AnswerHead(head.status, head.headers.toWire()))
    }

    override suspend fun data(bytes: ByteString) {
        window.acquire(bytes.size)
        sentBytes += bytes.size
        reply(FrameBody.AnswerData(bytes.toByteArray()))
    }

    fun onData(data: FrameBody.CallData) {
        parts.trySend(BodyPart.Data(ByteString(data.bytes)))
    }

    fun onEnd(end: FrameBody.CallEnd) {
        parts.trySend(if (end.whole) BodyPart.End else BodyPart.Broken)
    }

    fun onCredit(bytes: Int) {
        window.grant(bytes)
    }

    /** Ends the call's body as broken, and lifts flow control since the gateway no longer reads the answer. */
    fun onLinkClosed() {
        parts.trySend(BodyPart.Broken)
        window.grant(UNLIMITED_CREDIT)
    }

    private companion object {
        const val UNLIMITED_CREDIT = 1 shl 29
    }
}
