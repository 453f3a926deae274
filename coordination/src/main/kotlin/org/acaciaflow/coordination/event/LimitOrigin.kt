package org.acaciaflow.coordination.event

import org.acaciaflow.state.identity.HostAddress

/** How a gateway learned of the limit of a backend server, or of its end. */
sealed interface LimitOrigin {
    /** From the server's answer to the request [requestId]. */
    data class Answer(
        val requestId: String,
    ) : LimitOrigin

    /** From the report of another gateway. */
    data class Report(
        val gateway: HostAddress,
    ) : LimitOrigin
}
