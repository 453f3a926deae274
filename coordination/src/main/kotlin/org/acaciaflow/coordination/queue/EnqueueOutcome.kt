package org.acaciaflow.coordination.queue

import org.acaciaflow.state.refusal.NotRun

/** Whether a request was taken into the queue. */
sealed interface EnqueueOutcome {
    data object Queued : EnqueueOutcome

    data class Refused(
        val reason: NotRun,
    ) : EnqueueOutcome
}
