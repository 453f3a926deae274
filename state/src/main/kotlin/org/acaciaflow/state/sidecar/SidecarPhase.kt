package org.acaciaflow.state.sidecar

/** The phase of a sidecar; new attempts start only in [Serving]. */
sealed interface SidecarPhase {
    data object Serving : SidecarPhase

    /** Draining for a planned stop; exchanges in flight are completed. */
    data object Leaving : SidecarPhase

    /** The engine or plain service does not respond to health probes. */
    data object BackendDown : SidecarPhase

    /** An order to change the engine is being prepared or carried out. */
    data object Changing : SidecarPhase
}
