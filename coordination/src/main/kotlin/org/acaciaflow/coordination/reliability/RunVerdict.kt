package org.acaciaflow.coordination.reliability

/** What one run told about its backend server. */
enum class RunVerdict {
    SUCCEEDED,

    /** No connection could be made. */
    UNREACHABLE,

    /** It answered with a failure, with wrong bytes or not at all, or broke off. */
    FAILED,

    /** It refused work that it should have had room for. */
    REFUSED,
}
