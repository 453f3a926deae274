package org.acaciaflow.coordination.relay

import org.acaciaflow.state.connection.AnswerOrigin
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun

/** The result of one attempt at one backend server. */
internal sealed interface RunOutcome {
    /** The caller received the complete answer. */
    data class Delivered(
        val status: Int,
    ) : RunOutcome

    data object CallerGone : RunOutcome

    /** The backend server has not executed the request and never will. */
    data class NotExecuted(
        val reason: AttemptRefusal,
    ) : RunOutcome

    /** The answer is missing or incomplete; the request may have been executed. */
    data class Broken(
        val reason: MayHaveRun,
    ) : RunOutcome

    /** The server was silent until another one answered the caller, with which the request ended in [conclusion]. */
    data class Superseded(
        val conclusion: Conclusion,
    ) : RunOutcome

    /** The answer was not forwarded: it is an error, or it cannot continue a stream that the caller is receiving. */
    data class Failed(
        val answer: StoredAnswer,
        val origin: AnswerOrigin?,
    ) : RunOutcome {
        /** Leaves out the headers and the body, which may be large. */
        override fun toString(): String = "Failed(status=${answer.status}, origin=$origin)"
    }
}
