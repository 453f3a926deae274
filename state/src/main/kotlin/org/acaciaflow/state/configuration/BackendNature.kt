package org.acaciaflow.state.configuration

/** What stands behind a sidecar. */
sealed interface BackendNature {
    /** A batching model engine; [checksFencing] when it refuses orders with an old fencing number. */
    data class ModelEngine(
        val checksFencing: Boolean,
    ) : BackendNature

    /** A service that answers plain HTTP calls. */
    data object PlainService : BackendNature
}
