package org.acaciaflow.coordination.configuration

/** Why a configuration document cannot be adopted. */
sealed interface ConfigurationFault {
    /** The document is not of the expected form. */
    data class Undecodable(
        val detail: String,
    ) : ConfigurationFault

    /** A deployment names a pool that the document does not hold. */
    data class UnknownPool(
        val deployment: String,
        val pool: String,
    ) : ConfigurationFault

    /** A field holds a value outside of what is allowed. */
    data class InvalidValue(
        val field: String,
        val value: String,
        val allowed: String,
    ) : ConfigurationFault
}
