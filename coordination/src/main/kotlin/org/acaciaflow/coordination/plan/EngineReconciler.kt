package org.acaciaflow.coordination.plan

import kotlinx.coroutines.flow.Flow
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.EngineControl
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.OrderOutcome
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.PlanRecords
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.plan.PoolPlan
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.table.SharedTable

/**
 * Brings one engine to the state that the plan desires. Only one call of [step] may be in progress at a time.
 *
 * An order is given only while the plan can be read, and an engine whose answer was lost is asked before it gets
 * another order.
 */
class EngineReconciler(
    private val self: HostAddress,
    private val key: PlanKey,
    private val plans: PlanRecords,
    private val engine: EngineControl,
    private val load: SharedTable<SidecarLoad>,
    private val observations: Observations,
) {
    /** Takes one step towards the plan. */
    suspend fun step(): ReconcileProgress {
        val before = load.snapshot().phase
        val plan = readPlan() ?: return ReconcileProgress(settled = false, phaseChanged = false)
        val step = reconcileStep(plan.engines[self], engine.read(), load.snapshot())
        when (step) {
            ReconcileStep.Settled -> settle()
            ReconcileStep.Drain -> holdBack()
            ReconcileStep.Await -> Unit
            is ReconcileStep.Order -> order(step.desired)
        }
        return ReconcileProgress(step == ReconcileStep.Settled, load.snapshot().phase != before)
    }

    /** Emits whenever the plan may have changed. */
    fun planChanges(): Flow<Unit> = plans.changes(key)

    private suspend fun readPlan(): PoolPlan? =
        when (val read = plans.read(key)) {
            is StoreResult.Success -> {
                read.value
            }

            is StoreResult.Failure -> {
                observations.storeFailed(read.reason)
                null
            }
        }

    /** Orders [desired] if the plan, read once more, still wants it. */
    private suspend fun order(desired: EngineState) {
        val latest = readPlan() ?: return
        if (latest.engines[self] != desired) return
        when (engine.order(desired, latest.revision)) {
            OrderOutcome.ACCEPTED -> observations.event(Event.EngineOrdered(desired, latest.revision))
            OrderOutcome.FENCED -> observations.event(Event.EngineFenced(latest.revision))
            OrderOutcome.IN_DOUBT -> observations.event(Event.EngineOrderInDoubt(latest.revision))
        }
    }

    private fun holdBack() {
        load.update { if (it.phase == SidecarPhase.Serving) it.copy(phase = SidecarPhase.Changing) else it }
    }

    private fun settle() {
        load.update { if (it.phase == SidecarPhase.Changing) it.copy(phase = SidecarPhase.Serving) else it }
    }
}

/** Whether the engine is as planned, and whether the phase that gateways must know has changed. */
data class ReconcileProgress(
    val settled: Boolean,
    val phaseChanged: Boolean,
)
