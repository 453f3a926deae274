package org.acaciaflow.daemon.soak

/** A request of a caller and what came of it. Times are milliseconds since the start of the run. */
internal data class CallRecord(
    val requestId: String,
    val kind: CallKind,
    val method: String,
    val target: String,
    val body: String,
    val gateway: String,
    val sentAtMilliseconds: Long,
    val endedAtMilliseconds: Long,
    val outcome: CallOutcome,
    /** The event after which the caller asked a stream to go on. */
    val resumeAfter: Long? = null,
    /** Bytes that were on the connection before the request was sent. */
    val bytesBefore: String = "",
)

/** Whether a request may be repeated, and how it is answered. The route of a kind has its [prefix]. */
internal enum class CallKind(
    val prefix: String,
    val isStream: Boolean,
    val atMostOnce: Boolean,
) {
    READ("/items/", isStream = false, atMostOnce = false),
    REPEATABLE_WRITE("/items/", isStream = false, atMostOnce = false),
    SINGLE_WRITE("/claims/", isStream = false, atMostOnce = true),
    STREAM("/chat/", isStream = true, atMostOnce = true),
    RESUMABLE_STREAM("/draft/", isStream = true, atMostOnce = false),
}

/** What a caller got. */
internal sealed interface CallOutcome {
    /** An answer of which at least the head came; it is [whole] if its framing says that no byte is missing. */
    data class Answered(
        val status: Int,
        val requestId: String?,
        val stamp: String?,
        val body: String,
        val whole: Boolean,
    ) : CallOutcome {
        val isSuccess: Boolean get() = status in 200..299
    }

    /** What came begins with [text], which is no head of an answer. */
    data class Malformed(
        val text: String,
    ) : CallOutcome

    /** No head of an answer came: [reason] says what happened instead. */
    data class Unanswered(
        val reason: String,
    ) : CallOutcome
}
