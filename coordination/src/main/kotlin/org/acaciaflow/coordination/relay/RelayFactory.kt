package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CoroutineScope
import org.acaciaflow.coordination.buffer.BufferLimits
import org.acaciaflow.coordination.buffer.bufferLimitsOf
import org.acaciaflow.coordination.crash.CrashRecorder
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import kotlin.random.Random
import kotlin.time.Clock

/**
 * The ports that connect a relay to other layers, the planned stop of the process and the memory for answers.
 *
 * [self] is the address by which other gateways know this one; null if there are no others. [origins] knows at which
 * software version the streams began that callers take up.
 */
data class RelayPorts(
    val connections: BackendConnections,
    val dialect: CallerDialect,
    val framing: StreamFraming,
    val observations: Observations,
    val clock: Clock,
    val random: Random,
    val scope: CoroutineScope,
    val socketReads: SocketReads,
    val origins: StreamOrigins,
    val stop: StopSignal = StopSignal(),
    val bufferLimits: BufferLimits = bufferLimitsOf(Runtime.getRuntime().maxMemory()),
    val self: HostAddress? = null,
)

/** Creates the relay of a gateway in [dataCentre] that calls backend servers directly. */
fun createRequestRelay(
    tables: RelayTables,
    ports: RelayPorts,
    dataCentre: DataCentre,
    bounds: RetryBounds,
): RequestRelay {
    val candidates = Candidates(tables, dataCentre)
    val retryLimiter = RetryLimiter(tables, candidates, bounds, ports.observations)
    val jobIdentities = JobIdentityAllocator()
    val budget = LimitBudget(tables, ports.self, ports.observations)
    val availability =
        BackendAvailability(tables.fleet, tables.notices, budget, ports.observations, ports.clock, ports.random)
    val restWait = RestWait(candidates, LimitWait(tables, budget, ports.observations), ports.random)
    val backendRun = createBackendRun(tables, availability, jobIdentities, ports)
    val prefillRun = createPrefillRun(tables, availability, jobIdentities, ports)
    return RequestRelay(
        dialect = ports.dialect,
        initialConfiguration = InitialConfigurationWait(tables.routing, startedAt = ports.clock.now()),
        admission = RelayAdmission(tables, QuarantineCheck(tables, ports.self), ports.stop),
        turns = createRequestTurns(tables, ports),
        streamVersions = StreamVersions(ports.origins, ports.observations, ports.clock),
        retryLimiter = retryLimiter,
        plain = createPlainRelay(tables, candidates, restWait, retryLimiter, backendRun, dataCentre, ports),
        engine = createEngineRelay(tables, candidates, restWait, retryLimiter, prefillRun, backendRun, ports),
        observations = ports.observations,
        stop = ports.stop,
        clock = ports.clock,
    )
}

private fun createRequestTurns(
    tables: RelayTables,
    ports: RelayPorts,
): RequestTurns {
    val elapsedTime = ElapsedTimeEstimator(tables.timeLimits)
    return RequestTurns(tables.turns, elapsedTime, ports.socketReads, ports.scope, ports.clock)
}

private fun createBackendRun(
    tables: RelayTables,
    availability: BackendAvailability,
    jobs: JobIdentityAllocator,
    ports: RelayPorts,
): BackendRun =
    BackendRun(
        tables = tables,
        availability = availability,
        verdicts = RunVerdicts(tables, CrashRecorder(tables.crashes, tables.startingAttempts, ports.observations)),
        connections = ports.connections,
        framing = ports.framing,
        origins = ports.origins,
        jobs = jobs,
        bufferLimits = ports.bufferLimits,
        socketReads = ports.socketReads,
        clock = ports.clock,
    )

private fun createPrefillRun(
    tables: RelayTables,
    availability: BackendAvailability,
    jobs: JobIdentityAllocator,
    ports: RelayPorts,
): PrefillRun = PrefillRun(tables, availability, ports.connections, jobs, ports.socketReads, ports.clock)

private fun createPlainRelay(
    tables: RelayTables,
    candidates: Candidates,
    restWait: RestWait,
    retryLimiter: RetryLimiter,
    backendRun: BackendRun,
    dataCentre: DataCentre,
    ports: RelayPorts,
): PlainRelay =
    PlainRelay(
        tables = tables,
        candidates = candidates,
        quarantine = QuarantineCheck(tables, ports.self),
        restWait = restWait,
        retryLimiter = retryLimiter,
        backendRun = backendRun,
        ownDataCentre = dataCentre,
        observations = ports.observations,
        clock = ports.clock,
        random = ports.random,
    )

private fun createEngineRelay(
    tables: RelayTables,
    candidates: Candidates,
    restWait: RestWait,
    retryLimiter: RetryLimiter,
    prefillRun: PrefillRun,
    backendRun: BackendRun,
    ports: RelayPorts,
): EngineRelay =
    EngineRelay(
        tables = tables,
        candidates = candidates,
        admission = GenerationAdmission(tables, ports.observations),
        quarantine = QuarantineCheck(tables, ports.self),
        restWait = restWait,
        retryLimiter = retryLimiter,
        prefillRun = prefillRun,
        backendRun = backendRun,
        observations = ports.observations,
        clock = ports.clock,
        random = ports.random,
    )
