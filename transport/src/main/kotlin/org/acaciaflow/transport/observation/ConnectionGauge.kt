package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.acaciaflow.transport.direct.DirectConnections

/** Registers a gauge for the backend servers that get a connection for each request. */
internal fun registerConnectionGauge(
    registry: MeterRegistry,
    connections: DirectConnections,
) {
    Gauge
        .builder(Meters.BACKENDS_ISOLATED) { connections.isolatedServers }
        .strongReference(true)
        .register(registry)
}
