package org.acaciaflow.coordination.port

/** Why a call to the store has no answer; [mayHaveTakenEffect] when a write could have been applied all the same. */
enum class StoreFailure(
    val code: String,
    val mayHaveTakenEffect: Boolean,
) {
    UNREACHABLE("unreachable", mayHaveTakenEffect = false),
    REJECTED("rejected", mayHaveTakenEffect = false),
    TIMED_OUT("timed-out", mayHaveTakenEffect = true),
    ANSWER_LOST("answer-lost", mayHaveTakenEffect = true),
    MALFORMED_ANSWER("malformed-answer", mayHaveTakenEffect = true),
}
