package org.acaciaflow.transport.link

import kotlinx.coroutines.channels.Channel
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.AnswerSink
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.toWire
import org.acaciaflow.state.work.AnswerHead

/** The sidecar's end of one attempt on a link: the call's body comes in, the answer goes out. */
internal class CallStream(
    private val reply: (FrameBody) -> Boolean,
    override val buffered: ByteString,
    override val whole: Boolean,
) : CallBody,
    AnswerSink {
    private val arrived = Channel<BodyPart>(Channel.UNLIMITED)
    private val credit = ReadCredit()
    private val window = StreamWindow()

    /** Bytes of answer body sent so far. */
    var sentBytes: Long = 0
        private set

    override suspend fun next(): BodyPart {
        val part = arrived.receive()
        if (part is BodyPart.Data) {
            val grant = credit.taken(part.bytes.size)
            if (grant > 0) reply(FrameBody.Credit(grant))
        }
        return part
    }

    override suspend fun head(head: AnswerHead) {
        reply(FrameBody.AnswerHead(head.status, head.headers.toWire()))
    }

    override suspend fun data(bytes: ByteString) {
        window.take(bytes.size)
        sentBytes += bytes.size
        reply(FrameBody.AnswerData(bytes.toByteArray()))
    }

    fun dataArrived(data: FrameBody.CallData) {
        arrived.trySend(BodyPart.Data(ByteString(data.bytes)))
    }

    fun endArrived(end: FrameBody.CallEnd) {
        arrived.trySend(if (end.whole) BodyPart.End else BodyPart.Broken)
    }

    fun creditArrived(bytes: Int) {
        window.grant(bytes)
    }

    /** The link ended: no further part of the body will come, and nobody reads the answer. */
    fun linkEnded() {
        arrived.trySend(BodyPart.Broken)
        window.grant(UNLIMITED_CREDIT)
    }

    private companion object {
        const val UNLIMITED_CREDIT = 1 shl 29
    }
}
