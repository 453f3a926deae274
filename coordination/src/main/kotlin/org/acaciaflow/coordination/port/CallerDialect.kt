package org.acaciaflow.coordination.port

import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** Tells what a caller's headers mean. */
interface CallerDialect {
    /** Reads the head of a call. */
    fun read(call: CallHead): Decoded<CallFacts>
}

/**
 * What a caller says about its request.
 *
 * [host] has no port. [timeLimit] is how long the caller waits, null when it does not say. [resumeAfter] is the last
 * event that it already has. [forwarded] is the call without the headers that are not the caller's to set.
 */
data class CallFacts(
    val requestId: String,
    val host: String,
    val path: String,
    val timeLimit: Duration?,
    val prompt: Prompt?,
    val resumeAfter: String?,
    val forwarded: CallHead,
)
