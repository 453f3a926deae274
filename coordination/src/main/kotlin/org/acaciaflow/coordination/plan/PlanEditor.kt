package org.acaciaflow.coordination.plan

import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.PlanRecords
import org.acaciaflow.coordination.port.PlanSwap
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState

/** Changes the desired state of one engine; whoever else changes the plan meanwhile loses nothing. */
class PlanEditor(
    private val plans: PlanRecords,
) {
    /** Sets [desired] for the engine behind [sidecar]. */
    suspend fun assign(
        key: PlanKey,
        sidecar: HostAddress,
        desired: EngineState,
    ): PlanEdit {
        repeat(MAXIMUM_TRIES) {
            val plan =
                when (val read = plans.read(key)) {
                    is StoreResult.Failure -> return PlanEdit.StoreFailed(read.reason)
                    is StoreResult.Success -> read.value
                }
            val next = plan.copy(engines = plan.engines.put(sidecar, desired))
            when (val swapped = plans.swap(key, next)) {
                is StoreResult.Failure -> {
                    return PlanEdit.StoreFailed(swapped.reason)
                }

                is StoreResult.Success -> {
                    val outcome = swapped.value
                    if (outcome is PlanSwap.Written) return PlanEdit.Accepted(outcome.revision)
                }
            }
        }
        return PlanEdit.Contended
    }

    private companion object {
        const val MAXIMUM_TRIES = 8
    }
}

/** Outcome of changing a plan. */
sealed interface PlanEdit {
    data class Accepted(
        val revision: Long,
    ) : PlanEdit

    data class StoreFailed(
        val reason: StoreFailure,
    ) : PlanEdit

    /** Others changed the plan again and again; nothing was written. */
    data object Contended : PlanEdit
}
