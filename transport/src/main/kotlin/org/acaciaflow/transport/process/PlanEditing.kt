package org.acaciaflow.transport.process

import org.acaciaflow.coordination.plan.PlanEdit
import org.acaciaflow.coordination.plan.PlanEditor
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.protocol.plan.StoredPlanRecords
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.plan.EngineState

/** Sets the desired state of the engine behind [sidecar] in the plan at [store]. */
suspend fun assignEngine(
    store: HostAddress,
    key: PlanKey,
    sidecar: HostAddress,
    desired: EngineState,
): PlanEdit = withStore(store) { PlanEditor(StoredPlanRecords(it)).assign(key, sidecar, desired) }
