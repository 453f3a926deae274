package org.acaciaflow.transport.direct

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.transport.observation.MeteredObservations
import kotlin.random.Random

/** Creates an observer of connections whose records nobody reads. */
internal fun createConnectionObserver(): ConnectionObserver =
    ConnectionObserver(MeteredObservations(PrometheusMeterRegistry(PrometheusConfig.DEFAULT)))

/** Creates the availability of the backend servers of [tables]. */
internal fun createBackendAvailability(tables: RelayTables = createRelayTables()): BackendAvailability {
    val observations = MeteredObservations(PrometheusMeterRegistry(PrometheusConfig.DEFAULT))
    val budget = LimitBudget(tables, self = null, observations)
    return BackendAvailability(tables.fleet, tables.notices, budget, observations, createSteadyClock(), Random(1))
}
