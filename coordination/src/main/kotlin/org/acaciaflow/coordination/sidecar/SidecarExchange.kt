package org.acaciaflow.coordination.sidecar

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.AnswerSink
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.BackendCaller
import org.acaciaflow.coordination.port.BackendResult
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.state.attempt.AttemptProgress
import org.acaciaflow.state.bytes.concatenate
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** Runs admitted attempts against the engine or service. */
class SidecarExchange(
    private val admission: AttemptAdmission,
    private val caller: BackendCaller,
    private val supervisor: BackendSupervisor,
) {
    /** Runs the call of an admitted attempt; its outcome is in the journal before this function returns. */
    suspend fun run(
        order: AttemptOrder,
        body: CallBody,
        sink: AnswerSink,
    ): BackendResult {
        val buffering = BufferingSink(sink, if (order.atMostOnce) MAXIMUM_STORED_ANSWER_BYTES else 0)
        var progress: AttemptProgress = AttemptProgress.Broken(MayHaveRun.CALLER_GONE)
        try {
            val life = supervisor.backendLife
            val result = withConfirmedCrash(caller.call(order, body, buffering), life)
            if (result is BackendResult.NotStarted) supervisor.markUnreachable()
            progress = progressOf(result, buffering.answer)
            return result
        } finally {
            admission.finish(order, progress)
        }
    }

    /** Treats a broken connection as a crash only when the backend is unreachable or has restarted. */
    private suspend fun withConfirmedCrash(
        result: BackendResult,
        life: String,
    ): BackendResult {
        if (result != CRASHED || supervisor.crashedSince(life)) return result
        return BackendResult.Broken(MayHaveRun.ANSWER_INCOMPLETE)
    }

    private fun progressOf(
        result: BackendResult,
        answer: StoredAnswer?,
    ): AttemptProgress =
        when (result) {
            BackendResult.Completed -> AttemptProgress.Completed(answer)
            is BackendResult.NotStarted -> AttemptProgress.Tombstoned
            is BackendResult.Broken -> AttemptProgress.Broken(result.reason)
        }

    /** Forwards an answer to [next] and buffers a copy of it unless it exceeds [limitBytes]. */
    private class BufferingSink(
        private val next: AnswerSink,
        private val limitBytes: Int,
    ) : AnswerSink {
        private var head: AnswerHead? = null
        private var parts: PersistentList<ByteString>? = persistentListOf()
        private var receivedBytes = 0

        val answer: StoredAnswer?
            get() {
                val bufferedHead = head ?: return null
                val bufferedParts = parts ?: return null
                return StoredAnswer(bufferedHead.status, bufferedHead.headers, concatenate(bufferedParts))
            }

        override suspend fun head(head: AnswerHead) {
            this.head = head
            next.head(head)
        }

        override suspend fun data(bytes: ByteString) {
            receivedBytes += bytes.size
            parts = if (receivedBytes <= limitBytes) parts?.add(bytes) else null
            next.data(bytes)
        }
    }

    private companion object {
        val CRASHED = BackendResult.Broken(MayHaveRun.BACKEND_CRASHED)
        const val MAXIMUM_STORED_ANSWER_BYTES = 64 * 1024
    }
}
