package org.acaciaflow.state.configuration

/** One condition on a call. */
sealed interface CallCondition {
    /** The HTTP method, compared without regard to case. */
    data class Method(
        val method: String,
    ) : CallCondition

    /** The start of the path as sent, before any decoding. */
    data class PathPrefix(
        val prefix: String,
    ) : CallCondition

    /** A header with exactly this value. */
    data class Header(
        val name: String,
        val value: String,
    ) : CallCondition

    /** A top-level field of a JSON body whose text equals [value]. */
    data class JsonField(
        val field: String,
        val value: String,
    ) : CallCondition
}
