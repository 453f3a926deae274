package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.table.SharedTable

/** Registers a gauge for the registered backend servers that get no new work because they are leaving. */
internal fun registerFleetGauges(
    registry: MeterRegistry,
    fleet: SharedTable<Fleet>,
) {
    Gauge
        .builder(Meters.BACKENDS_LEAVING) { leavingCount(fleet.snapshot()) }
        .strongReference(true)
        .register(registry)
}

private fun leavingCount(fleet: Fleet): Int = fleet.entries.values.count { it.life in fleet.leaving }
