package org.acaciaflow.state.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.work.RequestDigest

/**
 * What a sidecar runs at the moment, and whether it takes more.
 *
 * [waitingPromptTokens] is what the engine last reported as not yet read; it lags.
 * [reservedProbes] is for how many more health probes an idle engine is kept free for a crash suspect.
 */
data class SidecarLoad(
    val phase: SidecarPhase,
    val role: EngineRole,
    val capacity: Int,
    val running: PersistentMap<AttemptIdentity, RunningExchange>,
    val backendLife: String,
    val reservedProbes: Int,
    val waitingPromptTokens: Int,
) {
    /** True while new work is held back so that a crash suspect can run alone. */
    val reserved: Boolean
        get() = reservedProbes > 0

    companion object {
        fun idle(capacity: Int): SidecarLoad =
            SidecarLoad(
                phase = SidecarPhase.BackendDown,
                role = EngineRole.MIXED,
                capacity = capacity,
                running = persistentMapOf(),
                backendLife = "",
                reservedProbes = 0,
                waitingPromptTokens = 0,
            )
    }
}

/** An exchange in progress; [alone] when it must share the engine with no other. */
data class RunningExchange(
    val digest: RequestDigest,
    val alone: Boolean,
)
