package org.acaciaflow.state.configuration

/** A condition that a call must meet to match a work kind. */
sealed interface CallCondition {
    /** Matches the HTTP method, ignoring case. */
    data class Method(
        val method: String,
    ) : CallCondition

    /** Matches the start of the request target as sent, before percent-decoding. */
    data class PathPrefix(
        val prefix: String,
    ) : CallCondition

    /** Matches a header whose value equals [value]. */
    data class Header(
        val name: String,
        val value: String,
    ) : CallCondition

    /** Matches a top-level field of a JSON body whose text equals [value]. */
    data class JsonField(
        val field: String,
        val value: String,
    ) : CallCondition
}
