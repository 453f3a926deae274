package org.acaciaflow.state.refusal

/**
 * The reason why a caller gets no answer from a backend server.
 *
 * The subtype states what is known about execution, so that retrying a non-idempotent request after [MayHaveRun] is
 * a compile-time error.
 */
sealed interface Refusal {
    /** The code of the refusal in metrics and in the answer to the caller. */
    val code: String
}
