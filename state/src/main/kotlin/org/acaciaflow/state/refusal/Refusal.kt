package org.acaciaflow.state.refusal

/**
 * Why a caller gets no answer from a backend server.
 *
 * The subtype says what is known about execution, so that a retry of a non-idempotent request after
 * [MayHaveRun] does not compile.
 */
sealed interface Refusal {
    /** The name under which the refusal is counted and told to the caller. */
    val code: String
}
