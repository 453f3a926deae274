package org.acaciaflow.state.refusal

/** The request may have been executed; neither outcome is guaranteed. */
enum class MayHaveRun(
    override val code: String,
) : Refusal {
    LINK_LOST("link-lost"),
    BACKEND_CRASHED("backend-crashed"),
    CRASH_SUSPECT("crash-suspect-ran"),
    ANSWER_INCOMPLETE("answer-incomplete"),
    BACKEND_TIMEOUT("backend-timeout"),
    CALLER_GONE("caller-gone-running"),
    RETRY_BUDGET_SPENT("retry-budget-spent"),
    DEADLINE_PASSED("deadline-passed-running"),
    ANSWER_OF_OTHER_REQUEST("answer-of-other-request"),
    ANSWER_UNSIGNED("answer-unsigned"),
    ANSWER_NO_STREAM("answer-no-stream"),
    ANSWER_CONTRADICTED("answer-contradicted"),
    ANSWER_MALFORMED("answer-malformed"),
    ANSWER_TOO_LARGE("answer-too-large"),
    ANSWER_MEMORY_SPENT("answer-memory-spent"),
    STREAM_STALLED("stream-stalled"),
    STREAM_NOT_RESUMED("stream-not-resumed"),
    STREAM_UNRECORDED("stream-unrecorded"),
    STOPPING("stopping-running"),

    /** The handling of the request failed with an exception. */
    GATEWAY_FAULT("gateway-fault"),
}
