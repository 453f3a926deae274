package org.acaciaflow.coordination.relay

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun

/** What became of one send to one backend server. */
internal sealed interface RunOutcome {
    /** The caller has the whole answer. */
    data class Delivered(
        val status: Int,
    ) : RunOutcome

    data object CallerGone : RunOutcome

    /** The backend server did not run it and never will. */
    data class NotExecuted(
        val reason: AttemptRefusal,
    ) : RunOutcome

    /** No whole answer came; it may have run. */
    data class Broken(
        val reason: MayHaveRun,
    ) : RunOutcome

    /** The backend server answered with a failure of its own, which the caller has not been told. */
    data class Failed(
        val answer: StoredAnswer,
    ) : RunOutcome
}
