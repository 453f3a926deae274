package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.connection.AnswerOrigin
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** Streams the answer of one attempt. */
interface AttemptStream {
    /** Waits for the next part. [AttemptEvent.End], [AttemptEvent.Refused] and [AttemptEvent.Broken] end the stream. */
    suspend fun next(): AttemptEvent

    /** True while the whole answer has arrived and its end is held back. */
    val isHeld: Boolean
        get() = false

    /** Cancels the attempt; [next] then returns [AttemptEvent.Broken]. May be called from any thread. */
    fun cancel()
}

/** A part of an attempt's answer. */
sealed interface AttemptEvent {
    data class Refused(
        val reason: AttemptRefusal,
    ) : AttemptEvent

    /** The head of the answer; [origin] is null if the connection doesn't tell where it comes from. */
    data class Head(
        val head: AnswerHead,
        val origin: AnswerOrigin? = null,
    ) : AttemptEvent

    data class Data(
        val bytes: ByteString,
    ) : AttemptEvent

    /** The answer is complete. */
    data object End : AttemptEvent

    data class Broken(
        val reason: MayHaveRun,
    ) : AttemptEvent
}
