package org.acaciaflow.protocol.dialect

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** An HTTP client for short calls whose bodies fit in memory. */
interface HttpCalls {
    /**
     * Sends a request to [address] and waits at most [timeout] for the complete answer.
     *
     * An answer that [isAnswer] rejects belongs to another call; its connection is closed.
     */
    suspend fun call(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
        timeout: Duration,
        isAnswer: (HttpResult.Answered) -> Boolean = { true },
    ): HttpResult
}

/** The result of an HTTP call. */
sealed interface HttpResult {
    data class Answered(
        val head: AnswerHead,
        val body: ByteString,
    ) : HttpResult

    /** An answer arrived that belongs to another call; whether this call was executed is not known. */
    data object OfOtherCall : HttpResult

    /** The connection could not be established, so nothing was sent. */
    data object Unreachable : HttpResult

    data object TimedOut : HttpResult

    /** The connection closed before the answer was complete. */
    data object ConnectionLost : HttpResult

    /** The answer has more bytes than the client takes; the rest was not read. */
    data object AnswerTooLarge : HttpResult
}
