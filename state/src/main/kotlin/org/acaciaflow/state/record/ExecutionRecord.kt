package org.acaciaflow.state.record

import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Instant

/**
 * What the platform's store knows about the execution of one non-idempotent request.
 *
 * Every change is a compare-and-swap on the record's revision. Only the process named by the current
 * [MaybeRunning] may dispatch, and only that attempt to that sidecar life.
 */
sealed interface ExecutionRecord {
    /** [attempt] may be executing behind [sidecar], or may have been executed there. */
    data class MaybeRunning(
        val attempt: AttemptIdentity,
        val sidecar: ProcessIdentity,
        val since: Instant,
    ) : ExecutionRecord

    /** Executed once; [answer] is null when it was too large to keep. */
    data class Answered(
        val attempt: AttemptIdentity,
        val answer: StoredAnswer?,
        val at: Instant,
    ) : ExecutionRecord

    /** The calls made so far were not executed. A later call with the same identity may reserve again. */
    data class NotExecuted(
        val reason: Refusal,
        val at: Instant,
    ) : ExecutionRecord

    /** Nobody can tell any more whether [attempt] was executed; an operator settles it by hand. */
    data class Unknown(
        val attempt: AttemptIdentity,
        val sidecar: ProcessIdentity,
        val reason: Refusal,
        val since: Instant,
    ) : ExecutionRecord

    /** An operator found out whether the request was executed; [reason] is the operator's own text. */
    data class SettledByHand(
        val executed: Boolean,
        val reason: String,
        val at: Instant,
    ) : ExecutionRecord
}
