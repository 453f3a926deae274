package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.ConnectionHistory

/** Decides which requests a kept connection to a backend server may carry. */
object ConnectionReuse {
    /**
     * Decides whether the connection with [history] may carry a request with the id [requestId].
     *
     * An answer names its request but not the sending it belongs to, and a server may answer late. So a connection
     * never carries the same id twice: an answer that arrives on it belongs to the one sending of that id. A connection
     * to a server that [isIsolated] carries one request only.
     */
    fun decide(
        history: ConnectionHistory,
        requestId: String,
        isIsolated: Boolean,
    ): ReuseDecision =
        when {
            history.hasCarried(requestId) -> ReuseDecision.Close(ConnectionCloseReason.REQUEST_REPEATED)
            isIsolated && history.carried.isNotEmpty() -> ReuseDecision.Close(ConnectionCloseReason.SERVER_ISOLATED)
            history.carried.size >= MAXIMUM_REQUESTS -> ReuseDecision.Close(ConnectionCloseReason.REQUESTS_EXHAUSTED)
            else -> ReuseDecision.Use(history)
        }

    /** The requests that a connection carries at most, which bounds the memory for its history. */
    const val MAXIMUM_REQUESTS = 256
}

/** Whether a kept connection may carry a request. */
sealed interface ReuseDecision {
    /** The connection carries it; [history] is what it carried before. */
    data class Use(
        val history: ConnectionHistory,
    ) : ReuseDecision

    /** The connection is closed, and the request is sent on another one. */
    data class Close(
        val reason: ConnectionCloseReason,
    ) : ReuseDecision
}
