package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.classification.BodyReader
import org.acaciaflow.coordination.classification.CallClassifier
import org.acaciaflow.coordination.dispatch.DispatchPolicy
import org.acaciaflow.coordination.dispatch.Dispatcher
import org.acaciaflow.coordination.execution.RecordResolver
import org.acaciaflow.coordination.port.ExecutionRecords
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.port.SuspectRecords
import org.acaciaflow.coordination.queue.QueueLimits
import org.acaciaflow.coordination.suspect.CrashSuspectRegistry
import org.acaciaflow.state.identity.AttemptIdentityFactory
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.ProcessIdentity
import kotlin.random.Random
import kotlin.time.Clock

/** The coordination layer of a gateway, independent of the front end that feeds it calls. */
class GatewayCore internal constructor(
    val arrivals: ArrivalService,
    val worker: ExchangeWorker,
    val suspects: CrashSuspectRegistry,
)

/** The ports through which the coordination layer reaches the other layers. */
data class GatewayPorts(
    val records: ExecutionRecords,
    val suspects: SuspectRecords,
    val connections: SidecarConnections,
    val bodyReader: BodyReader,
    val framing: StreamFraming,
    val observations: Observations,
    val clock: Clock,
)

/** Identity and data centre of the gateway process, its queue limits and its dispatch policy. */
data class GatewayRules(
    val process: ProcessIdentity,
    val dataCentre: DataCentre,
    val limits: QueueLimits,
    val dispatch: DispatchPolicy,
)

/** Creates the coordination layer of a gateway on [tables]. */
fun createGatewayCore(
    tables: GatewayTables,
    ports: GatewayPorts,
    rules: GatewayRules,
    wakeUp: WakeUp,
    random: Random,
): GatewayCore {
    val resolver = RecordResolver(ports.records, ports.connections, ports.observations, ports.clock)
    val suspects = CrashSuspectRegistry(ports.suspects, tables.suspects, ports.observations)
    val dispatcher =
        Dispatcher(
            waiting = tables.waiting,
            servers = tables.servers,
            suspects = tables.suspects,
            attempts = AttemptIdentityFactory(rules.process),
            ownDataCentre = rules.dataCentre,
            policy = rules.dispatch,
            random = random,
        )
    val arrivals =
        ArrivalService(
            tables = tables,
            classifier = CallClassifier(ports.bodyReader),
            resolver = resolver,
            suspects = suspects,
            limits = rules.limits,
            wakeUp = wakeUp,
            observations = ports.observations,
            clock = ports.clock,
        )
    return GatewayCore(arrivals, createWorker(tables, ports, dispatcher, resolver, suspects, wakeUp), suspects)
}

private fun createWorker(
    tables: GatewayTables,
    ports: GatewayPorts,
    dispatcher: Dispatcher,
    resolver: RecordResolver,
    suspects: CrashSuspectRegistry,
    wakeUp: WakeUp,
): ExchangeWorker {
    val atMostOnce =
        AtMostOnceAttempt(
            records = ports.records,
            resolver = resolver,
            connections = ports.connections,
            framing = ports.framing,
            observations = ports.observations,
            clock = ports.clock,
        )
    return ExchangeWorker(
        tables = tables,
        dispatcher = dispatcher,
        wakeUp = wakeUp,
        repeatable = RepeatableAttempt(ports.connections, ports.framing, suspects),
        atMostOnce = atMostOnce,
        records = ports.records,
        observations = ports.observations,
        clock = ports.clock,
    )
}
