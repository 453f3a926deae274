package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.refusal.ThisCallNotRun
import org.acaciaflow.state.work.HeaderField
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The HTTP answer that reports a refusal to a caller. */
data class RefusalAnswer(
    val status: Int,
    val headers: PersistentList<HeaderField>,
    val body: ByteString,
) {
    companion object {
        const val EXECUTION_HEADER = "Acaciaflow-Execution"
        const val REASON_HEADER = "Acaciaflow-Reason"

        /**
         * Encodes [refusal] for the built-in front end.
         *
         * Answers with status 503 carry a Retry-After header of [retryAfter], or of one second when it is null.
         */
        fun of(
            refusal: Refusal,
            retryAfter: Duration?,
        ): RefusalAnswer {
            val execution = executionOf(refusal)
            val document = RefusalDocument(RefusalDetail(refusal.code, execution.code))
            val body = Json.encodeToString(RefusalDocument.serializer(), document).encodeToByteString()
            val headers =
                persistentListOf(
                    HeaderField("Content-Type", "application/json"),
                    HeaderField("Content-Length", body.size.toString()),
                    HeaderField(EXECUTION_HEADER, execution.code),
                    HeaderField(REASON_HEADER, refusal.code),
                )
            val status = statusOf(refusal)
            return when (status) {
                SERVICE_UNAVAILABLE -> RefusalAnswer(status, headers.add(retryAfterField(retryAfter)), body)
                else -> RefusalAnswer(status, headers, body)
            }
        }

        /** Retry-After in whole seconds, rounded up, at least one, because old devices don't parse fractions. */
        private fun retryAfterField(retryAfter: Duration?): HeaderField {
            val delay = (retryAfter ?: Duration.ZERO).coerceAtLeast(1.seconds)
            val whole = delay.inWholeSeconds
            val seconds = if (delay > whole.seconds) whole + 1 else whole
            return HeaderField("Retry-After", seconds.toString())
        }

        private fun executionOf(refusal: Refusal): ExecutionAssurance =
            when (refusal) {
                is NotRun -> ExecutionAssurance.NOT_RUN
                is ThisCallNotRun -> ExecutionAssurance.THIS_CALL_NOT_RUN
                is MayHaveRun -> ExecutionAssurance.MAY_HAVE_RUN
            }

        private fun statusOf(refusal: Refusal): Int =
            when (refusal) {
                is NotRun -> statusOf(refusal)
                is ThisCallNotRun -> SERVICE_UNAVAILABLE
                is MayHaveRun -> GATEWAY_TIMEOUT
            }

        private fun statusOf(refusal: NotRun): Int =
            when (refusal) {
                NotRun.UNKNOWN_CALL -> NOT_FOUND

                NotRun.IDENTITY_MISSING, NotRun.IDENTITY_UNREADABLE, NotRun.TARGET_MALFORMED -> BAD_REQUEST

                NotRun.BODY_TOO_LARGE -> CONTENT_TOO_LARGE

                NotRun.HEAD_LATE, NotRun.BODY_LATE -> REQUEST_TIMEOUT

                NotRun.CRASH_SUSPECT -> UNPROCESSABLE_CONTENT

                NotRun.NO_CONFIGURATION,
                NotRun.QUEUE_FULL,
                NotRun.DEADLINE_PASSED,
                NotRun.CALLER_GONE,
                NotRun.NO_BACKEND,
                NotRun.BACKENDS_REFUSED,
                NotRun.BACKENDS_RESTING,
                NotRun.BACKENDS_LIMITED,
                NotRun.LATE_ALREADY,
                NotRun.ROOM_RESERVED,
                NotRun.STREAM_ORIGIN_UNKNOWN,
                NotRun.STREAM_VERSION_GONE,
                NotRun.STREAM_UNRECORDABLE,
                NotRun.STOPPING,
                -> SERVICE_UNAVAILABLE
            }

        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val REQUEST_TIMEOUT = 408
        private const val CONTENT_TOO_LARGE = 413
        private const val UNPROCESSABLE_CONTENT = 422
        private const val SERVICE_UNAVAILABLE = 503
        private const val GATEWAY_TIMEOUT = 504
    }
}

/** What a refusal guarantees about the execution of the request. */
enum class ExecutionAssurance(
    val code: String,
) {
    NOT_RUN("not-run"),
    THIS_CALL_NOT_RUN("this-call-not-run"),
    MAY_HAVE_RUN("may-have-run"),
}

/** The JSON body of a refusal, in the error format of completion APIs. */
@Serializable
data class RefusalDocument(
    val error: RefusalDetail,
)

/** [type] is the code of the refusal's reason, [execution] the code of its [ExecutionAssurance]. */
@Serializable
data class RefusalDetail(
    val type: String,
    @SerialName("acaciaflow_execution") val execution: String,
)
