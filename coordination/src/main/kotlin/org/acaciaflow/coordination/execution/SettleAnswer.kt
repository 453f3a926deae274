package org.acaciaflow.coordination.execution

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun

/** What a sidecar tells about an attempt whose outcome is in doubt. */
sealed interface SettleAnswer {
    /** The sidecar never started it and never will. */
    data object NeverStarted : SettleAnswer

    data object StillRunning : SettleAnswer

    /** Executed and answered whole; [answer] is null when it was too large to keep. */
    data class Completed(
        val answer: StoredAnswer?,
    ) : SettleAnswer

    /** Started, and no whole answer came or will come. */
    data class Broken(
        val reason: MayHaveRun,
    ) : SettleAnswer

    /** The sidecar life that took the attempt has ended, or has forgotten it. */
    data object Forgotten : SettleAnswer

    /** No answer from the sidecar; it may be asked again. */
    data object Unreachable : SettleAnswer
}
