package org.acaciaflow.coordination.retry

/** Reason for retrying a request. */
enum class RetryReason(
    val code: String,
) {
    ATTEMPT_REFUSED("attempt-refused"),
    LINK_LOST("link-lost"),
    BACKEND_CRASHED("backend-crashed"),
    RUN_STALLED("run-stalled"),
    ANSWER_INCOMPLETE("answer-incomplete"),
    STREAM_RESUMED("stream-resumed"),
    NEVER_STARTED("never-started"),
    BACKEND_FAILED("backend-failed"),
    CACHE_UNAVAILABLE("cache-unavailable"),
}
