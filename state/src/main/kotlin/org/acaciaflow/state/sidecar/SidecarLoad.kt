package org.acaciaflow.state.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.work.RequestDigest

/**
 * The current load of a sidecar and its ability to accept more.
 *
 * [waitingPromptTokens] is the number of prompt tokens awaiting prefill that the engine last reported; it lags behind
 * the actual number. [reservedProbes] is the number of further health probes for which an idle engine stays reserved
 * for a crash suspect.
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
    /** True while other work is refused so that a crash suspect can run alone. */
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

/** An exchange in flight; [alone] is true if no other exchange may run on the engine at the same time. */
data class RunningExchange(
    val digest: RequestDigest,
    val alone: Boolean,
)
