package org.acaciaflow.coordination.port

import org.acaciaflow.state.backend.EngineRole

/** Result of a health probe. */
sealed interface BackendHealth {
    /**
     * The backend answered.
     *
     * [life] changes with each restart of the backend. [role] and [waitingPromptTokens] are as reported by the engine.
     */
    data class Alive(
        val life: String,
        val role: EngineRole,
        val waitingPromptTokens: Int,
    ) : BackendHealth

    data object Unreachable : BackendHealth
}
