package org.acaciaflow.coordination.port

/**
 * Reason for the failure of a store call.
 *
 * [PAST_ERA] is an answer of a history that the store has left. [mayHaveTakenEffect] when a write may have been applied
 * nevertheless; [storeAnswered] when the store is available and its answer could not be used.
 */
enum class StoreFailure(
    val code: String,
    val mayHaveTakenEffect: Boolean,
    val storeAnswered: Boolean = false,
) {
    UNREACHABLE("unreachable", mayHaveTakenEffect = false),
    REJECTED("rejected", mayHaveTakenEffect = false),
    TIMED_OUT("timed-out", mayHaveTakenEffect = true),
    ANSWER_LOST("answer-lost", mayHaveTakenEffect = true),
    ANSWER_TOO_LARGE("answer-too-large", mayHaveTakenEffect = true, storeAnswered = true),
    PAST_ERA("past-era", mayHaveTakenEffect = true),
    MALFORMED_ANSWER("malformed-answer", mayHaveTakenEffect = true, storeAnswered = true),
}
