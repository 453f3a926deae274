package org.acaciaflow.state.backend

/** Whether a backend server accepts new work, as last reported to this gateway. */
sealed interface Availability {
    data object Serving : Availability

    /** The sidecar announced that it is draining; exchanges in flight continue. */
    data object Leaving : Availability

    /** The engine or plain service behind the sidecar does not respond. */
    data object BackendDown : Availability

    /** The engine is changing its role, model or version. */
    data object Changing : Availability
}
