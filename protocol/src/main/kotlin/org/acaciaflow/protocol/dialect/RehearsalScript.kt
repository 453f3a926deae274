package org.acaciaflow.protocol.dialect

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField

/** The messages of a gateway's rehearsal, in which it plays callers and backend servers itself. */
interface RehearsalScript {
    /** The headers of a caller's request for a generation with this many prompt tokens. */
    fun callerFields(
        requestId: String,
        promptTokens: Int,
    ): PersistentList<HeaderField>

    /** The head of a backend server's answer to [received], and its body in parts. */
    fun answerTo(received: CallHead): RehearsedAnswer
}

/** An answer that a rehearsal's backend server gives. */
data class RehearsedAnswer(
    val head: AnswerHead,
    val parts: PersistentList<ByteString>,
)
