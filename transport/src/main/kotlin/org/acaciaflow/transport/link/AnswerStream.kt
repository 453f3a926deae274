package org.acaciaflow.transport.link

import kotlinx.coroutines.channels.Channel
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.toFields
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** The gateway's end of one attempt on a link. */
internal class AnswerStream(
    private val reply: (FrameBody) -> Unit,
) : AttemptStream {
    private val arrived = Channel<AttemptEvent>(Channel.UNLIMITED)
    private val credit = ReadCredit()
    private var receivedBytes = 0L

    /** Limits the call's body that is still to be sent. */
    val window = StreamWindow()

    override suspend fun next(): AttemptEvent {
        val event = arrived.receive()
        if (event is AttemptEvent.Data) grantCredit(event.bytes.size)
        return event
    }

    override fun cancel() {
        reply(FrameBody.Cancel)
        arrived.trySend(AttemptEvent.Broken(MayHaveRun.CALLER_GONE))
    }

    fun headArrived(head: FrameBody.AnswerHead) {
        arrived.trySend(AttemptEvent.Head(AnswerHead(head.status, head.headers.toFields())))
    }

    fun dataArrived(data: FrameBody.AnswerData) {
        receivedBytes += data.bytes.size
        arrived.trySend(AttemptEvent.Data(ByteString(data.bytes)))
    }

    /** The answer ended; it is whole only when as many bytes came as were sent. */
    fun endArrived(end: FrameBody.AnswerEnd) {
        val whole = end.totalBytes == receivedBytes
        arrived.trySend(if (whole) AttemptEvent.End else AttemptEvent.Broken(MayHaveRun.ANSWER_INCOMPLETE))
    }

    fun refusalArrived(refused: FrameBody.Refused) {
        arrived.trySend(AttemptEvent.Refused(refused.reason))
    }

    fun broke(reason: MayHaveRun) {
        arrived.trySend(AttemptEvent.Broken(reason))
    }

    private fun grantCredit(bytes: Int) {
        val grant = credit.taken(bytes)
        if (grant > 0) reply(FrameBody.Credit(grant))
    }
}
