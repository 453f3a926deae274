package org.acaciaflow.coordination.execution

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun

/** A sidecar's answer about an attempt whose outcome the gateway does not know. */
sealed interface SettleAnswer {
    /** The sidecar never started the attempt and will refuse it if it arrives later. */
    data object NeverStarted : SettleAnswer

    data object StillRunning : SettleAnswer

    /** Executed with a complete answer; [answer] is null when it was too large to store. */
    data class Completed(
        val answer: StoredAnswer?,
    ) : SettleAnswer

    /** Started, but ended without a complete answer. */
    data class Broken(
        val reason: MayHaveRun,
    ) : SettleAnswer

    /** The sidecar lifetime that received the attempt has ended, or its journal may have evicted the attempt. */
    data object Forgotten : SettleAnswer

    /** The sidecar did not answer; it can be asked again. */
    data object Unreachable : SettleAnswer
}
