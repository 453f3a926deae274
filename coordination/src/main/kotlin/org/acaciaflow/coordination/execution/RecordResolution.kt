package org.acaciaflow.coordination.execution

import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.Refusal

/** What the execution record means for a call that has just arrived, or that lost a race for its record. */
sealed interface RecordResolution {
    /**
     * Not executed so far; a reservation must find the record at [recordRevision].
     *
     * [recordOpen] when the record still says that an attempt may be running, though that attempt never started.
     */
    data class Proceed(
        val recordRevision: Long,
        val recordOpen: Boolean,
    ) : RecordResolution

    /** Executed before; the caller gets the same answer. */
    data class Replay(
        val answer: StoredAnswer,
    ) : RecordResolution

    data class Refused(
        val refusal: Refusal,
    ) : RecordResolution
}
