package org.acaciaflow.coordination.port

/** The purpose of a call to a backend server. */
enum class CallPurpose {
    RUN,
    PREFILL,
}
