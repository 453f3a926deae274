package org.acaciaflow.coordination.plan

import org.acaciaflow.coordination.port.EngineReading
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase

/** What brings an engine nearer to its desired state. */
sealed interface ReconcileStep {
    /** The engine is as desired, or nothing is desired of it. */
    data object Settled : ReconcileStep

    /** Take no new work, and wait for what runs. */
    data object Drain : ReconcileStep

    /** The engine is changing or cannot be asked; wait. */
    data object Await : ReconcileStep

    /** Nothing runs any more; order the change after one more look at the plan. */
    data class Order(
        val desired: EngineState,
    ) : ReconcileStep
}

/** The next step towards [desired]; null when the plan does not name this engine. */
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
        desired == null || engine.state == desired -> ReconcileStep.Settled
        load.phase != SidecarPhase.Changing -> ReconcileStep.Drain
        load.running.isNotEmpty() -> ReconcileStep.Drain
        else -> ReconcileStep.Order(desired)
    }
