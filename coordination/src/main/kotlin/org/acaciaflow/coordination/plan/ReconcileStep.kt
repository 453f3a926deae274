package org.acaciaflow.coordination.plan

import org.acaciaflow.coordination.port.EngineReading
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase

/** The next action that brings an engine closer to its desired state. */
sealed interface ReconcileStep {
    /** The engine is in its desired state, or the plan has none for it. */
    data object Converged : ReconcileStep

    /** Accept no new work and wait until the running work has finished. */
    data object Drain : ReconcileStep

    /** The engine is changing its state or is unreachable; wait. */
    data object Await : ReconcileStep

    /** The engine is drained; send the order after reading the plan once more. */
    data class Order(
        val desired: EngineState,
    ) : ReconcileStep
}

/** Returns the next step towards [desired], which is null if the plan does not name the engine. */
fun reconcileStep(
    desired: EngineState?,
    engine: EngineReading,
    load: SidecarLoad,
): ReconcileStep =
    when (engine) {
        EngineReading.Unreachable -> ReconcileStep.Await
        is EngineReading.Known -> stepOf(desired, engine, load)
    }

private fun stepOf(
    desired: EngineState?,
    engine: EngineReading.Known,
    load: SidecarLoad,
): ReconcileStep =
    when {
        engine.changing -> ReconcileStep.Await
        desired == null || engine.state == desired -> ReconcileStep.Converged
        load.phase != SidecarPhase.Changing -> ReconcileStep.Drain
        load.running.isNotEmpty() -> ReconcileStep.Drain
        else -> ReconcileStep.Order(desired)
    }
