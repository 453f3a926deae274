package org.acaciaflow.coordination.event

import org.acaciaflow.state.identity.HostAddress

/** How a gateway learned what a backend server says of itself: that it is leaving, or its limit. */
sealed interface NoticeOrigin {
    /** The server said so in its answer to the request [requestId]. */
    data class Answer(
        val requestId: String,
    ) : NoticeOrigin

    /** The report of another gateway said so. */
    data class Report(
        val gateway: HostAddress,
    ) : NoticeOrigin
}
