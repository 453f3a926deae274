package org.acaciaflow.state.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.work.RequestDigest

/** What a sidecar runs at the moment, and whether it takes more. */
data class SidecarLoad(
    val phase: SidecarPhase,
    val role: EngineRole,
    val capacity: Int,
    val running: PersistentMap<AttemptIdentity, RunningExchange>,
) {
    companion object {
        fun idle(capacity: Int): SidecarLoad =
            SidecarLoad(SidecarPhase.BackendDown, EngineRole.MIXED, capacity, persistentMapOf())
    }
}

/** An exchange in progress; [alone] when it must share the engine with no other. */
data class RunningExchange(
    val digest: RequestDigest,
    val alone: Boolean,
)
