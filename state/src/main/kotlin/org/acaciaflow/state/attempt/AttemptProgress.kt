package org.acaciaflow.state.attempt

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun

/** The progress of an attempt at a sidecar. */
sealed interface AttemptProgress {
    data object Started : AttemptProgress

    /** Executed and completely answered; [answer] is null if it was too large to keep. */
    data class Completed(
        val answer: StoredAnswer?,
    ) : AttemptProgress

    /** Started, but the answer is missing or incomplete. */
    data class Broken(
        val reason: MayHaveRun,
    ) : AttemptProgress

    /** Not started, and barred from ever starting. */
    data object Tombstoned : AttemptProgress
}
