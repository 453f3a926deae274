package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.ConnectionHistory

/** Decides what becomes of an answer that arrives where the answer to a request is expected. */
object AnswerScreening {
    /**
     * Decides on an answer with the ids [answerIds] that arrives after the request [requestId] was sent.
     *
     * [history] is what the connection carried before the request, and [skipped] the number of answers skipped since. An
     * answer that [isDoubted] may be a second one although it names the request; [hasKnownEnd] is true if it can be skipped.
     */
    fun decide(
        history: ConnectionHistory,
        requestId: String,
        answerIds: List<String>,
        skipped: Int,
        isDoubted: Boolean,
        hasKnownEnd: Boolean,
    ): ScreeningDecision {
        val maySkip = hasKnownEnd && skipped < MAXIMUM_SKIPPED
        val isOwn = answerIds.nameOnly(requestId)
        return when {
            isOwn && !isDoubted -> ScreeningDecision.Pass
            isOwn -> if (maySkip) ScreeningDecision.SkipDoubted else ScreeningDecision.Reject
            AnswerOwner.of(history, answerIds) != AnswerOwner.EARLIER_REQUEST -> ScreeningDecision.Pass
            else -> if (maySkip) ScreeningDecision.Skip else ScreeningDecision.Pass
        }
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

    /** It names the request and is not believed; the true answer may follow it. */
    data object SkipDoubted : ScreeningDecision

    /** It is not believed, and what follows it can't be read. */
    data object Reject : ScreeningDecision
}
