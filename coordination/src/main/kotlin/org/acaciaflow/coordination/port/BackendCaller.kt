package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** Calls the sidecar's engine or service. */
interface BackendCaller {
    /** Makes the call and passes the answer to [sink] part by part. */
    suspend fun call(
        order: AttemptOrder,
        body: CallBody,
        sink: AnswerSink,
    ): BackendResult

    /** Probes the health of the engine or service. */
    suspend fun probe(): BackendHealth
}

/** Receives an answer part by part; its functions suspend while the reader is slow. */
interface AnswerSink {
    suspend fun head(head: AnswerHead)

    suspend fun data(bytes: ByteString)
}

/** Outcome of a call to an engine or service. */
sealed interface BackendResult {
    /** The complete answer was passed on. */
    data object Completed : BackendResult

    /** No byte of the call reached the backend. */
    data class NotStarted(
        val reason: AttemptRefusal,
    ) : BackendResult

    data class Broken(
        val reason: MayHaveRun,
    ) : BackendResult
}
