package org.acaciaflow.state.record

import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Instant

/**
 * The stored state of the execution of one non-idempotent request.
 *
 * Every update is a compare-and-swap on the record's revision. Only the process named by the current [MaybeRunning]
 * may dispatch the request, and only as that attempt to that sidecar process.
 */
sealed interface ExecutionRecord {
    /** [attempt] may be running, or may already have been executed, at the backend server behind [sidecar]. */
    data class MaybeRunning(
        val attempt: AttemptIdentity,
        val sidecar: ProcessIdentity,
        val since: Instant,
    ) : ExecutionRecord

    /** Executed once; [answer] is null if it was too large to keep. */
    data class Answered(
        val attempt: AttemptIdentity,
        val answer: StoredAnswer?,
        val at: Instant,
    ) : ExecutionRecord

    /** No call so far was executed; a later call with the same identity may reserve the record again. */
    data class NotExecuted(
        val reason: Refusal,
        val at: Instant,
    ) : ExecutionRecord

    /** Whether [attempt] was executed can no longer be determined; an operator has to settle it by hand. */
    data class Unknown(
        val attempt: AttemptIdentity,
        val sidecar: ProcessIdentity,
        val reason: Refusal,
        val since: Instant,
    ) : ExecutionRecord

    /** An operator determined whether the request was executed; [reason] is the operator's explanation. */
    data class SettledByHand(
        val executed: Boolean,
        val reason: String,
        val at: Instant,
    ) : ExecutionRecord
}
