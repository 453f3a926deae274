package org.acaciaflow.coordination.reliability

/** What the outcome of one run says about the reliability of its backend server. */
enum class RunVerdict {
    SUCCEEDED,

    /** The connection to the server failed. */
    UNREACHABLE,

    /** The server answered with an error or invalid data, or its answer is missing or incomplete. */
    FAILED,

    /** The server refused work although it should have had capacity for it. */
    REFUSED,
}
