package org.acaciaflow.state.refusal

/** This call was not executed, but an earlier call with the same identity may have been. */
enum class ThisCallNotRun(
    override val code: String,
) : Refusal {
    RECORD_UNREADABLE("record-unreadable"),
    RECORD_UNWRITABLE("record-unwritable"),
    EARLIER_CALL_RUNNING("earlier-call-running"),
    EARLIER_OUTCOME_UNKNOWN("earlier-outcome-unknown"),
    EARLIER_ANSWER_NOT_KEPT("earlier-answer-not-kept"),
}
