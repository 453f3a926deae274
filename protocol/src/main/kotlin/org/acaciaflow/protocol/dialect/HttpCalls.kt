package org.acaciaflow.protocol.dialect

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** Makes short HTTP calls with small bodies. */
interface HttpCalls {
    /** Calls [address] and waits for the whole answer, at most [timeout]. */
    suspend fun call(
        address: HostAddress,
        head: CallHead,
        body: ByteString,
        timeout: Duration,
    ): HttpResult
}

/** Outcome of a short HTTP call. */
sealed interface HttpResult {
    data class Answered(
        val head: AnswerHead,
        val body: ByteString,
    ) : HttpResult

    /** No connection could be made, so nothing was sent. */
    data object Unreachable : HttpResult

    data object TimedOut : HttpResult

    /** The connection ended before the answer was whole. */
    data object Lost : HttpResult
}
