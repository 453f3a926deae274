package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CoroutineScope
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.state.identity.DataCentre
import kotlin.time.Clock

/** What a relay needs from the layers around it; [stopNotice] is null until the process is asked to stop. */
data class RelayPorts(
    val connections: BackendConnections,
    val dialect: CallerDialect,
    val framing: StreamFraming,
    val observations: Observations,
    val clock: Clock,
    val scope: CoroutineScope,
    val stopNotice: () -> StopNotice? = { null },
)

/** Builds the decisions of a gateway in [dataCentre] that calls backend servers directly. */
fun createRequestRelay(
    tables: RelayTables,
    ports: RelayPorts,
    dataCentre: DataCentre,
    bounds: RetryBounds,
): RequestRelay {
    val candidates = Candidates(tables, dataCentre)
    val permits = SendPermits(tables, candidates, bounds, ports.observations)
    val jobs = JobNumbers()
    val backendRun = BackendRun(tables, ports.connections, ports.framing, jobs, ports.clock)
    val prefillRun = PrefillRun(tables, ports.connections, jobs, ports.clock)
    return RequestRelay(
        dialect = ports.dialect,
        firstConfiguration = FirstConfiguration(tables.routing, startedAt = ports.clock.now()),
        admission = RelayAdmission(tables, ports.stopNotice),
        turns = RequestTurns(tables.turns, TimeLimits(tables.timeLimits), ports.scope, ports.clock),
        permits = permits,
        plain = PlainRelay(tables, candidates, permits, backendRun, dataCentre, ports.observations, ports.clock),
        engine = EngineRelay(tables, candidates, permits, prefillRun, backendRun, ports.observations, ports.clock),
        observations = ports.observations,
        clock = ports.clock,
    )
}
