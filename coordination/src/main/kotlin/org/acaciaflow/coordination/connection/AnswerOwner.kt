package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.ConnectionHistory

/** The request that an answer belongs to when it isn't the answer to the request in progress on its connection. */
enum class AnswerOwner(
    val code: String,
) {
    /** A request that the same connection carried before. */
    EARLIER_REQUEST("earlier-request"),

    /** A request that the connection has not carried. */
    UNKNOWN_REQUEST("unknown-request"),

    /** The answer has no id, or several different ones. */
    NOT_IDENTIFIED("not-identified"),

    ;

    companion object {
        /** Returns the owner of an answer with the ids [answerIds] that arrived after [last] had been answered. */
        fun of(
            last: AnsweredRequest,
            answerIds: List<String>,
        ): AnswerOwner = if (answerIds.nameOnly(last.requestId)) EARLIER_REQUEST else of(last.history, answerIds)

        /** Returns the owner of an answer with the ids [answerIds], received on the connection with [history]. */
        fun of(
            history: ConnectionHistory,
            answerIds: List<String>,
        ): AnswerOwner {
            val answerId = answerIds.distinct().singleOrNull() ?: return NOT_IDENTIFIED
            return if (history.hasCarried(answerId)) EARLIER_REQUEST else UNKNOWN_REQUEST
        }
    }
}
