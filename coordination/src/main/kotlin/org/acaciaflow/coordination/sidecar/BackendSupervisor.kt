package org.acaciaflow.coordination.sidecar

import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.BackendCaller
import org.acaciaflow.coordination.port.BackendHealth
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.table.Transition

/** Keeps the phase of a sidecar in step with the health of its engine or service. */
class BackendSupervisor(
    private val tables: SidecarTables,
    private val caller: BackendCaller,
    private val observations: Observations,
) {
    /** Probes once and notes what was found; true when the phase changed. */
    suspend fun probe(): Boolean = note(caller.probe())

    /** The life of the backend that calls started now would reach. */
    val backendLife: String
        get() = tables.load.snapshot().backendLife

    /** Tells whether the backend that was alive as [life] has crashed since. */
    suspend fun crashedSince(life: String): Boolean {
        val health = caller.probe()
        val running =
            tables.load
                .snapshot()
                .running.size
        note(health)
        val crashed = health !is BackendHealth.Alive || health.life != life
        if (crashed) observations.event(Event.BackendCrashed(running))
        return crashed
    }

    /** Notes that a call could not reach the backend. */
    fun markUnreachable(): Boolean = note(BackendHealth.Unreachable)

    private fun note(health: BackendHealth): Boolean {
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

/** The load table after a probe. A planned stop or change is not undone by a healthy backend. */
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
                reservedProbes = reservationLeft(load),
                waitingPromptTokens = health.waitingPromptTokens,
            )
        }

        BackendHealth.Unreachable -> {
            val phase = if (load.phase == SidecarPhase.Serving) SidecarPhase.BackendDown else load.phase
            load.copy(phase = phase)
        }
    }

/** A reservation runs out probe by probe while the engine is idle and no suspect comes. */
private fun reservationLeft(load: SidecarLoad): Int =
    when {
        load.running.isNotEmpty() -> load.reservedProbes
        else -> maxOf(0, load.reservedProbes - 1)
    }
