package org.acaciaflow.transport.link

import kotlinx.coroutines.channels.Channel
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.toFields
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** The gateway's end of one attempt: receives the answer from the sidecar and grants flow-control credit for it. */
internal class AnswerStream(
    private val reply: (FrameBody) -> Unit,
) : AttemptStream {
    private val events = Channel<AttemptEvent>(Channel.UNLIMITED)
    private val credit = ReadCredit()
    private var receivedBytes = 0L

    /** Flow-control window for the rest of the call's body. */
    val window = StreamWindow()

    override suspend fun next(): AttemptEvent {
        val event = events.receive()
        if (event is AttemptEvent.Data) grantCredit(event.bytes.size)
        return event
    }

    override fun cancel() {
        reply(FrameBody.Cancel)
        events.trySend(AttemptEvent.Broken(MayHaveRun.CALLER_GONE))
    }

    fun onHead(head: FrameBody.AnswerHead) {
        events.trySend(AttemptEvent.Head(AnswerHead(head.status, head.headers.toFields())))
    }

    fun onData(data: FrameBody.AnswerData) {
        receivedBytes += data.bytes.size
        events.trySend(AttemptEvent.Data(ByteString(data.bytes)))
    }

    /** Ends the answer; it is incomplete when the received bytes differ from the total that the sidecar sent. */
    fun onEnd(end: FrameBody.AnswerEnd) {
        val whole = end.totalBytes == receivedBytes
        events.trySend(if (whole) AttemptEvent.End else AttemptEvent.Broken(MayHaveRun.ANSWER_INCOMPLETE))
    }

    fun onRefused(refused: FrameBody.Refused) {
        events.trySend(AttemptEvent.Refused(refused.reason))
    }

    fun onBroken(reason: MayHaveRun) {
        events.trySend(AttemptEvent.Broken(reason))
    }

    private fun grantCredit(bytes: Int) {
        val grant = credit.consume(bytes)
        if (grant > 0) reply(FrameBody.Credit(grant))
    }
}
