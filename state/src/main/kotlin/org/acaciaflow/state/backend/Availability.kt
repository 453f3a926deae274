package org.acaciaflow.state.backend

/** Whether a backend server takes new work, as far as this gateway knows. */
sealed interface Availability {
    data object Serving : Availability

    /** Its sidecar said that it stops; running work goes on. */
    data object Leaving : Availability

    /** The engine or service behind the sidecar does not answer. */
    data object BackendDown : Availability

    /** The engine is changing its role, model or version. */
    data object Changing : Availability
}
