package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.ConnectionHistory

/** Decides what becomes of an answer that arrives where the answer to a request is expected. */
object AnswerScreening {
    /**
     * Decides on an answer with the ids [answerIds] that arrives after the request [requestId] was sent.
     *
     * [history] is what the connection carried before the request, and [skipped] the number of answers skipped since.
     */
    fun decide(
        history: ConnectionHistory,
        requestId: String,
        answerIds: List<String>,
        skipped: Int,
    ): ScreeningDecision {
        if (answerIds.nameOnly(requestId)) return ScreeningDecision.Pass
        val isLate = AnswerOwner.of(history, answerIds) == AnswerOwner.EARLIER_REQUEST
        return if (isLate && skipped < MAXIMUM_SKIPPED) ScreeningDecision.Skip else ScreeningDecision.Pass
    }

    /** The late answers that are skipped for one request at most. */
    const val MAXIMUM_SKIPPED = 4
}

/** What becomes of an answer. */
sealed interface ScreeningDecision {
    /** It is read as the answer to the request in progress, which it may turn out not to be. */
    data object Pass : ScreeningDecision

    /** It is the late answer to an earlier request, and the true one may follow it. */
    data object Skip : ScreeningDecision
}
