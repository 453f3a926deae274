package org.acaciaflow.state.configuration

/** The type of backend server behind a sidecar. */
sealed interface BackendNature {
    /** A batching model engine; [checksFencing] is true if it rejects orders with a stale fencing number. */
    data class ModelEngine(
        val checksFencing: Boolean,
    ) : BackendNature

    /** A service that handles plain HTTP calls. */
    data object PlainService : BackendNature
}
