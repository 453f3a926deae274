package org.acaciaflow.state.attempt

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun

/** How far a sidecar has come with an attempt. */
sealed interface AttemptProgress {
    data object Started : AttemptProgress

    /** Executed and answered whole; [answer] is null when it was too large to keep. */
    data class Completed(
        val answer: StoredAnswer?,
    ) : AttemptProgress

    /** Started, but no whole answer came. */
    data class Broken(
        val reason: MayHaveRun,
    ) : AttemptProgress

    /** Never started, and never will be. */
    data object Tombstoned : AttemptProgress
}
