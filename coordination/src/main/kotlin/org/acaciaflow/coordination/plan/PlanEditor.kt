package org.acaciaflow.coordination.plan

import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.PlanRecords
import org.acaciaflow.coordination.port.PlanSwap
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState

/** Changes the desired state of one engine by compare-and-swap, so that concurrent changes to the plan are kept. */
class PlanEditor(
    private val plans: PlanRecords,
) {
    /**
     * Sets the desired state of the engine behind [sidecar].
     *
     * Fails while the plan has a state of another engine that cannot be decoded, since writing the plan would drop it.
     */
    suspend fun assign(
        key: PlanKey,
        sidecar: HostAddress,
        desired: EngineState,
    ): PlanEdit {
        repeat(MAXIMUM_ATTEMPTS) {
            val plan =
                when (val read = plans.read(key)) {
                    is StoreResult.Failure -> return PlanEdit.StoreFailed(read.reason)
                    is StoreResult.Success -> read.value
                }
            if ((plan.unreadable - sidecar).isNotEmpty()) return PlanEdit.StoreFailed(StoreFailure.MALFORMED_ANSWER)
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
        const val MAXIMUM_ATTEMPTS = 8
    }
}

/** Outcome of a change to a plan. */
sealed interface PlanEdit {
    data class Accepted(
        val revision: Long,
    ) : PlanEdit

    data class StoreFailed(
        val reason: StoreFailure,
    ) : PlanEdit

    /** Every attempt conflicted with a concurrent write to the plan; nothing was written. */
    data object Contended : PlanEdit
}
