package org.acaciaflow.coordination.event

import org.acaciaflow.state.identity.HostAddress

/** How a gateway learned of a surplus answer. */
sealed interface IsolationOrigin {
    /** It arrived on a connection of this gateway. */
    data object Connection : IsolationOrigin

    /** The report of another gateway said so. */
    data class Report(
        val gateway: HostAddress,
    ) : IsolationOrigin
}
