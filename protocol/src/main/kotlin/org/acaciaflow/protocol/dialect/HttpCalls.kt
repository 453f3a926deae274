package org.acaciaflow.protocol.dialect

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** An HTTP client for short calls whose bodies fit in memory. */
interface HttpCalls {
    /** Sends a request to [address] and waits at most [timeout] for the complete answer. */
    suspend fun call(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
        timeout: Duration,
    ): HttpResult
}

/** The result of an HTTP call. */
sealed interface HttpResult {
    data class Answered(
        val head: AnswerHead,
        val body: ByteString,
    ) : HttpResult

    /** The connection could not be established, so nothing was sent. */
    data object Unreachable : HttpResult

    data object TimedOut : HttpResult

    /** The connection closed before the answer was complete. */
    data object ConnectionLost : HttpResult

    /** The answer has more bytes than the client takes; the rest was not read. */
    data object AnswerTooLarge : HttpResult
}
