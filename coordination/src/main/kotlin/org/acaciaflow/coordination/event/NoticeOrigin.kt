package org.acaciaflow.coordination.event

import org.acaciaflow.state.identity.HostAddress

/** How a gateway learned that a backend server is leaving. */
sealed interface LeavingOrigin {
    /** The server said so in its answer to the request [requestId]. */
    data class Answer(
        val requestId: String,
    ) : LeavingOrigin

    /** The report of another gateway said so. */
    data class Report(
        val gateway: HostAddress,
    ) : LeavingOrigin
}
