package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.acaciaflow.coordination.stream.StreamRecordWriter
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.table.SharedTable

/** Registers gauges for the pools with several software versions and the records of streams that are not stored yet. */
internal fun registerVersionGauges(
    registry: MeterRegistry,
    versions: SharedTable<PoolVersions>,
    writer: StreamRecordWriter,
) {
    Gauge
        .builder(Meters.POOLS_MIXED) { versions.snapshot().mixed.size }
        .strongReference(true)
        .register(registry)
    Gauge
        .builder(Meters.STREAM_RECORDS_WAITING) { writer.waiting }
        .strongReference(true)
        .register(registry)
}
