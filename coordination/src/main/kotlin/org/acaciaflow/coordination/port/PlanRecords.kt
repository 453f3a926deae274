package org.acaciaflow.coordination.port

import kotlinx.coroutines.flow.Flow
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.plan.PoolPlan

/** The plans of pools in the platform's store. */
interface PlanRecords {
    suspend fun read(key: PlanKey): StoreResult<PoolPlan>

    /** Replaces the plan if it is still at the revision of [plan]. */
    suspend fun swap(
        key: PlanKey,
        plan: PoolPlan,
    ): StoreResult<PlanSwap>

    /** Emits whenever the plan may have changed. The flow completes when the watch breaks. */
    fun changes(key: PlanKey): Flow<Unit>
}

/** Identifies the plan of one pool in one data centre. */
data class PlanKey(
    val pool: PoolName,
    val dataCentre: DataCentre,
)

/** Outcome of replacing a plan. */
sealed interface PlanSwap {
    data class Written(
        val revision: Long,
    ) : PlanSwap

    /** The plan was changed concurrently; nothing was written. */
    data object Conflict : PlanSwap
}
