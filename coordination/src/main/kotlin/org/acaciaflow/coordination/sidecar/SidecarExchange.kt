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
import org.acaciaflow.state.bytes.joined
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead

/** Runs admitted attempts against the engine or service. */
class SidecarExchange(
    private val admission: AttemptAdmission,
    private val caller: BackendCaller,
    private val supervisor: BackendSupervisor,
) {
    /** Makes the call of an admitted attempt and notes its outcome before telling it. */
    suspend fun run(
        order: AttemptOrder,
        body: CallBody,
        sink: AnswerSink,
    ): BackendResult {
        val keeping = KeepingSink(sink, if (order.atMostOnce) KEPT_ANSWER_BYTES else 0)
        var progress: AttemptProgress = AttemptProgress.Broken(MayHaveRun.CALLER_GONE)
        try {
            val life = supervisor.backendLife
            val result = attributed(caller.call(order, body, keeping), life)
            if (result is BackendResult.NotStarted) supervisor.markUnreachable()
            progress = progressOf(result, keeping.answer)
            return result
        } finally {
            admission.finish(order, progress)
        }
    }

    /** A connection that broke is a crash only when its backend is gone or has been started anew. */
    private suspend fun attributed(
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

    /** Keeps a copy of an answer of at most [limitBytes] while passing it on. */
    private class KeepingSink(
        private val next: AnswerSink,
        private val limitBytes: Int,
    ) : AnswerSink {
        private var head: AnswerHead? = null
        private var parts: PersistentList<ByteString>? = persistentListOf()
        private var keptBytes = 0

        val answer: StoredAnswer?
            get() {
                val keptHead = head ?: return null
                val keptParts = parts ?: return null
                return StoredAnswer(keptHead.status, keptHead.headers, joined(keptParts))
            }

        override suspend fun head(head: AnswerHead) {
            this.head = head
            next.head(head)
        }

        override suspend fun data(bytes: ByteString) {
            keptBytes += bytes.size
            parts = if (keptBytes <= limitBytes) parts?.add(bytes) else null
            next.data(bytes)
        }
    }

    private companion object {
        val CRASHED = BackendResult.Broken(MayHaveRun.BACKEND_CRASHED)
        const val KEPT_ANSWER_BYTES = 64 * 1024
    }
}
