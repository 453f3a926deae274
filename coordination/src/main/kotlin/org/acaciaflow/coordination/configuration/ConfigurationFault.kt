package org.acaciaflow.coordination.configuration

/** Reason for rejecting a configuration document. */
sealed interface ConfigurationFault {
    /** The document cannot be decoded or is missing; [detail] says which part, or holds the decoder's message. */
    data class Undecodable(
        val detail: String,
    ) : ConfigurationFault

    /** A deployment refers to a pool that the document does not define. */
    data class UnknownPool(
        val deployment: String,
        val pool: String,
    ) : ConfigurationFault

    /** The value of a field is not allowed; [allowed] describes the values that are. */
    data class InvalidValue(
        val field: String,
        val value: String,
        val allowed: String,
    ) : ConfigurationFault
}
