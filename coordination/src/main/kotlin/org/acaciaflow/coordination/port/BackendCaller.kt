package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** The sidecar's way to its engine or service. */
interface BackendCaller {
    /** Makes the call and passes each part of the answer to [sink]. */
    suspend fun call(
        order: AttemptOrder,
        body: CallBody,
        sink: AnswerSink,
    ): BackendResult

    /** Asks the engine or service whether it is alive. */
    suspend fun probe(): BackendHealth
}

/** Takes an answer part by part and waits while its reader is slow. */
interface AnswerSink {
    suspend fun head(head: AnswerHead)

    suspend fun data(bytes: ByteString)
}

/** How a call to an engine or service ended. */
sealed interface BackendResult {
    /** A whole answer was passed on. */
    data object Completed : BackendResult

    /** No byte of the call reached the backend. */
    data class NotStarted(
        val reason: AttemptRefusal,
    ) : BackendResult

    data class Broken(
        val reason: MayHaveRun,
    ) : BackendResult
}
