package org.acaciaflow.coordination.plan

import kotlinx.coroutines.flow.Flow
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.EngineControl
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.OrderOutcome
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.PlanRecords
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.plan.PoolPlan
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.table.SharedTable

/**
 * Reconciles one engine with its desired state in the plan. Calls of [step] must not overlap.
 *
 * Orders are sent only while the plan is readable. After an order whose answer was lost, the state of the engine is
 * read before the next order.
 */
class EngineReconciler(
    private val self: HostAddress,
    private val key: PlanKey,
    private val plans: PlanRecords,
    private val engine: EngineControl,
    private val load: SharedTable<SidecarLoad>,
    private val observations: Observations,
) {
    /** Takes one step towards the desired state. */
    suspend fun step(): ReconcileProgress {
        val before = load.snapshot().phase
        val plan = readPlan() ?: return ReconcileProgress(converged = false, phaseChanged = false)
        val step = reconcileStep(plan.engines[self], engine.read(), load.snapshot())
        when (step) {
            ReconcileStep.Converged -> resumeServing()
            ReconcileStep.Drain -> startDraining()
            ReconcileStep.Await -> Unit
            is ReconcileStep.Order -> order(step.desired)
        }
        return ReconcileProgress(step == ReconcileStep.Converged, load.snapshot().phase != before)
    }

    /** Emits whenever the plan may have changed. */
    fun planChanges(): Flow<Unit> = plans.changes(key)

    /** Reads the plan; null if it, or its state of this engine, cannot be read. */
    private suspend fun readPlan(): PoolPlan? =
        when (val read = plans.read(key)) {
            is StoreResult.Success ->
                read.value.takeUnless { self in it.unreadable }
                    ?: unreadable(StoreFailure.MALFORMED_ANSWER)
            is StoreResult.Failure -> unreadable(read.reason)
        }

    private fun unreadable(reason: StoreFailure): PoolPlan? {
        observations.storeFailed(reason)
        return null
    }

    /** Sends the order for [desired] if a fresh read of the plan still has it as the desired state. */
    private suspend fun order(desired: EngineState) {
        val latest = readPlan() ?: return
        if (latest.engines[self] != desired) return
        when (engine.order(desired, latest.revision)) {
            OrderOutcome.ACCEPTED -> observations.event(Event.EngineOrdered(desired, latest.revision))
            OrderOutcome.FENCED -> observations.event(Event.EngineFenced(latest.revision))
            OrderOutcome.IN_DOUBT -> observations.event(Event.EngineOrderInDoubt(latest.revision))
        }
    }

    private fun startDraining() {
        load.update { if (it.phase == SidecarPhase.Serving) it.copy(phase = SidecarPhase.Changing) else it }
    }

    private fun resumeServing() {
        load.update { if (it.phase == SidecarPhase.Changing) it.copy(phase = SidecarPhase.Serving) else it }
    }
}

/**
 * Result of one reconcile step.
 *
 * [converged] is true if the engine is in its desired state, [phaseChanged] if the phase must be reported to gateways.
 */
data class ReconcileProgress(
    val converged: Boolean,
    val phaseChanged: Boolean,
)
