package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.limit.ServerLimit
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock

/** Registers gauges for the backend servers that get no new work because they are leaving, for a time, or less of it. */
internal fun registerFleetGauges(
    registry: MeterRegistry,
    fleet: SharedTable<Fleet>,
    notices: SharedTable<BackendNotices>,
    limits: SharedTable<ServerLimits>,
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
    Gauge
        .builder(Meters.BACKENDS_LIMITED) { limited(limits.snapshot()).size }
        .strongReference(true)
        .register(registry)
    Gauge
        .builder(Meters.BACKENDS_LIMITED_PARTS) { limited(limits.snapshot()).sumOf { it.tokens.perSecond } }
        .strongReference(true)
        .register(registry)
}

private fun leavingCount(fleet: Fleet): Int = fleet.entries.values.count { it.life in fleet.leaving }

private fun limited(limits: ServerLimits): List<ServerLimit> =
    limits.byLife.values.filter {
        it.word is LimitWord.Named
    }

private fun restingCount(
    notices: BackendNotices,
    clock: Clock,
): Int {
    val now = clock.now()
    return notices.rests.values.count { it.until > now }
}
