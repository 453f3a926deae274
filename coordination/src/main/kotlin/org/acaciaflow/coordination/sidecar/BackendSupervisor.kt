package org.acaciaflow.coordination.sidecar

import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.BackendCaller
import org.acaciaflow.coordination.port.BackendHealth
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.table.Transition

/** Updates the phase of a sidecar from the health of its engine or service. */
class BackendSupervisor(
    private val tables: SidecarTables,
    private val caller: BackendCaller,
    private val observations: Observations,
) {
    /** Runs one health probe and records its result; returns true when the phase changed. */
    suspend fun probe(): Boolean = recordHealth(caller.probe())

    /** The backend lifetime from the last successful probe; empty before the first one. */
    val backendLife: String
        get() = tables.load.snapshot().backendLife

    /** Probes the backend; returns true when it is unreachable or no longer runs as [life]. */
    suspend fun crashedSince(life: String): Boolean {
        val health = caller.probe()
        val running =
            tables.load
                .snapshot()
                .running.size
        recordHealth(health)
        val crashed = health !is BackendHealth.Alive || health.life != life
        if (crashed) observations.event(Event.BackendCrashed(running))
        return crashed
    }

    /** Records that a call could not reach the backend; returns true when the phase changed. */
    fun markUnreachable(): Boolean = recordHealth(BackendHealth.Unreachable)

    private fun recordHealth(health: BackendHealth): Boolean {
        val change =
            tables.load.transition { load ->
                val next = afterProbe(load, health)
                Transition(next, PhaseChange(load.phase, next.phase))
            }
        if (change.before == change.after) return false
        report(health)
        return true
    }

    private fun report(health: BackendHealth) {
        when (health) {
            is BackendHealth.Alive -> observations.event(Event.BackendUp(health.life))
            BackendHealth.Unreachable -> observations.event(Event.BackendDown)
        }
    }
}

/** The phase of a sidecar before and after a probe. */
private data class PhaseChange(
    val before: SidecarPhase,
    val after: SidecarPhase,
)

/**
 * Returns the load table after a probe.
 *
 * A healthy backend ends only [SidecarPhase.BackendDown]; a sidecar that is leaving or changing keeps its phase.
 */
fun afterProbe(
    load: SidecarLoad,
    health: BackendHealth,
): SidecarLoad =
    when (health) {
        is BackendHealth.Alive -> {
            val phase = if (load.phase == SidecarPhase.BackendDown) SidecarPhase.Serving else load.phase
            load.copy(
                phase = phase,
                role = health.role,
                backendLife = health.life,
                reservedProbes = remainingReservation(load),
                waitingPromptTokens = health.waitingPromptTokens,
            )
        }

        BackendHealth.Unreachable -> {
            val phase = if (load.phase == SidecarPhase.Serving) SidecarPhase.BackendDown else load.phase
            load.copy(phase = phase)
        }
    }

/** Each successful probe of an idle engine shortens the reservation, which expires if no crash suspect arrives. */
private fun remainingReservation(load: SidecarLoad): Int =
    when {
        load.running.isNotEmpty() -> load.reservedProbes
        else -> maxOf(0, load.reservedProbes - 1)
    }
