package org.acaciaflow.coordination.queue

import org.acaciaflow.state.refusal.NotRun

/** Outcome of adding a request to the waiting queue. */
sealed interface EnqueueOutcome {
    data object Queued : EnqueueOutcome

    data class Refused(
        val reason: NotRun,
    ) : EnqueueOutcome
}
