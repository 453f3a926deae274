package org.acaciaflow.protocol.dialect

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField

/**
 * The messages of a gateway's rehearsal.
 *
 * A rehearsal warms the gateway up before it accepts callers: it sends itself requests and answers them as a simulated
 * backend server.
 */
interface RehearsalScript {
    /** The headers of a simulated generation request with [promptTokens] prompt tokens. */
    fun callerFields(
        requestId: String,
        promptTokens: Int,
    ): PersistentList<HeaderField>

    /** The simulated backend server's answer to [received]. */
    fun answerTo(received: CallHead): RehearsedAnswer
}

/** A simulated answer: its head and the chunks of its body. */
data class RehearsedAnswer(
    val head: AnswerHead,
    val parts: PersistentList<ByteString>,
)
