package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** One call of one caller, whatever the front end that took it. */
interface CallerExchange {
    val call: CallHead
    val body: CallBody

    /** True once the caller has closed its connection. */
    val disconnected: Boolean

    /** Runs [action] once when the caller closes its connection before its answer is complete. */
    fun onDisconnect(action: () -> Unit)

    /** Sends status and headers. */
    suspend fun begin(head: AnswerHead): CallerWrite

    /** Sends a part of the answer's body and waits while the caller is slow. */
    suspend fun send(bytes: ByteString): CallerWrite

    /** Ends a whole answer. */
    suspend fun end(): CallerWrite

    /** Answers with a refusal, saying when to come back if [retryAfter] is given; nothing was sent before. */
    suspend fun refuse(
        refusal: Refusal,
        retryAfter: Duration? = null,
    ): CallerWrite

    /** Cuts an answer that cannot be completed, so that the caller can tell that it is not whole. */
    fun abort()
}

/** Whether a write reached the caller's connection. */
enum class CallerWrite {
    WRITTEN,
    CALLER_GONE,
}
