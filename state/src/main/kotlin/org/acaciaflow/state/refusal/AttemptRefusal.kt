package org.acaciaflow.state.refusal

/**
 * Why an attempt was not executed: a sidecar or backend server rejected it, or the gateway itself did not send it.
 *
 * The attempt will never start, so the request may be sent to another server.
 */
enum class AttemptRefusal(
    val code: String,
) {
    AT_CAPACITY("at-capacity"),
    LEAVING("leaving"),
    OTHER_LIFE("other-life"),
    REPLACED("replaced"),
    RESTING("resting"),
    LIMITED("limited"),
    OVERDUE("overdue"),
    TOMBSTONED("tombstoned"),
    STALE_ATTEMPT("stale-attempt"),
    REPEATED_ATTEMPT("repeated-attempt"),
    BACKEND_DOWN("backend-down"),
    CHANGING("changing"),
    SUSPECT_NOT_ALONE("suspect-not-alone"),
    CONNECTION_REFUSED("connection-refused"),
    CACHE_UNAVAILABLE("cache-unavailable"),
    LINK_UNAVAILABLE("link-unavailable"),
}
