package org.acaciaflow.coordination.execution

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.Refusal

/** How to handle a call that has just arrived, or that lost a race for its execution record. */
sealed interface RecordResolution {
    /**
     * The request has not been executed; a reservation must find the record at [recordRevision].
     *
     * [recordOpen] is true when the record still names a possibly running attempt, although that attempt never started.
     */
    data class Proceed(
        val recordRevision: Long,
        val recordOpen: Boolean,
    ) : RecordResolution

    /** The request was already executed; the caller gets the stored answer. */
    data class Replay(
        val answer: StoredAnswer,
    ) : RecordResolution

    data class Refused(
        val refusal: Refusal,
    ) : RecordResolution
}
