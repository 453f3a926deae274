package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** The answer of one attempt, part by part. */
interface AttemptStream {
    /** Waits for the next part. After [AttemptEvent.End], a refusal or a break there is no further one. */
    suspend fun next(): AttemptEvent

    /** Tells the sidecar that nobody waits for the answer any more; [next] then returns a break. Any thread. */
    fun abandon()
}

/** A part of an attempt's answer. */
sealed interface AttemptEvent {
    data class Refused(
        val reason: AttemptRefusal,
    ) : AttemptEvent

    data class Head(
        val head: AnswerHead,
    ) : AttemptEvent

    data class Data(
        val bytes: ByteString,
    ) : AttemptEvent

    /** The answer is whole. */
    data object End : AttemptEvent

    data class Broken(
        val reason: MayHaveRun,
    ) : AttemptEvent
}
