package org.acaciaflow.coordination.port

/** Why a connection of a caller failed. */
enum class CallerConnectionFailure(
    val code: String,
) {
    /** It was reset, or failed otherwise. */
    FAILED("failed"),

    /** It brought bytes that are no request. */
    REQUEST_MALFORMED("request-malformed"),
}
