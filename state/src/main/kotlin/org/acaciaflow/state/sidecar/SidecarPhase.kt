package org.acaciaflow.state.sidecar

/** Whether a sidecar starts new attempts. */
sealed interface SidecarPhase {
    data object Serving : SidecarPhase

    /** A planned stop is under way; running exchanges finish. */
    data object Leaving : SidecarPhase

    /** The engine or service does not answer its health probe. */
    data object BackendDown : SidecarPhase

    /** An order to the engine is prepared or under way. */
    data object Changing : SidecarPhase
}
