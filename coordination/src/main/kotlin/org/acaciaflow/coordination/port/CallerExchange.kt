package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** One call of one caller, independent of the front end that received it. */
interface CallerExchange {
    val call: CallHead
    val body: CallBody

    /** True once the caller has closed its connection. */
    val disconnected: Boolean

    /** Runs [action] once when the caller closes its connection before its answer is complete. */
    fun onDisconnect(action: () -> Unit)

    /** Sends status and headers. */
    suspend fun begin(head: AnswerHead): CallerWrite

    /** Sends a part of the answer's body; suspends while the caller is slow to read. */
    suspend fun send(bytes: ByteString): CallerWrite

    /** Ends an answer that is complete. */
    suspend fun end(): CallerWrite

    /** Answers with a refusal and, if given, [retryAfter]; allowed only before [begin]. */
    suspend fun refuse(
        refusal: Refusal,
        retryAfter: Duration? = null,
    ): CallerWrite

    /**
     * Ends an answer that cannot be completed for [reason].
     *
     * If a part of it was written, closes the connection, so that the caller detects the truncation; otherwise answers
     * with [reason]. Does nothing to an answer that has ended.
     */
    fun abort(reason: Refusal)
}

/** Outcome of a write to the caller's connection. */
enum class CallerWrite {
    WRITTEN,
    CALLER_GONE,
}
