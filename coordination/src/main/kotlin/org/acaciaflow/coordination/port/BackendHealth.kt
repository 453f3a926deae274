package org.acaciaflow.coordination.port

import org.acaciaflow.state.backend.EngineRole

/** What a health probe found. */
sealed interface BackendHealth {
    /** Alive; [life] changes whenever the backend has been started anew, [role] is what an engine reports. */
    data class Alive(
        val life: String,
        val role: EngineRole,
        val waitingPromptTokens: Int,
    ) : BackendHealth

    data object Unreachable : BackendHealth
}
