package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock

/** Registers gauges for the backend servers that get no new work because they are leaving, or for a time. */
internal fun registerFleetGauges(
    registry: MeterRegistry,
    fleet: SharedTable<Fleet>,
    notices: SharedTable<BackendNotices>,
    clock: Clock,
) {
    Gauge
        .builder(Meters.BACKENDS_LEAVING) { leavingCount(fleet.snapshot()) }
        .strongReference(true)
        .register(registry)
    Gauge
        .builder(Meters.BACKENDS_RESTING) { restingCount(notices.snapshot(), clock) }
        .strongReference(true)
        .register(registry)
}

private fun leavingCount(fleet: Fleet): Int = fleet.entries.values.count { it.life in fleet.leaving }

private fun restingCount(
    notices: BackendNotices,
    clock: Clock,
): Int {
    val now = clock.now()
    return notices.rests.values.count { it.until > now }
}
