package org.acaciaflow.coordination.port

import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** Interprets the headers of a caller's request. */
interface CallerDialect {
    /** Decodes the head of a call. */
    fun read(call: CallHead): Decoded<CallFacts>
}

/**
 * Properties of a request from the head of its call.
 *
 * [host] has no port. [timeLimit] is the caller's timeout, or null when the caller sets none. [resumeAfter] is the last
 * event that the caller already has, and [firstAttempt] the request id of its attempt that brought the first event of the
 * stream; null if it names none, or not clearly. [forwarded] is the call without the headers that callers may not set.
 */
data class CallFacts(
    val requestId: String,
    val host: String,
    val path: String,
    val timeLimit: Duration?,
    val prompt: Prompt?,
    val resumeAfter: String?,
    val firstAttempt: String?,
    val forwarded: CallHead,
)
