package org.acaciaflow.protocol.execution

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.dispatch.DispatchPolicy
import org.acaciaflow.coordination.gateway.GatewayPorts
import org.acaciaflow.coordination.gateway.GatewayRules
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.coordination.gateway.WakeUp
import org.acaciaflow.coordination.gateway.createGatewayCore
import org.acaciaflow.coordination.gateway.createGatewayTables
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.queue.QueueLimits
import org.acaciaflow.coordination.queue.QueuePolicy
import org.acaciaflow.coordination.selection.SelectionPolicy
import org.acaciaflow.protocol.http.JsonBodyReader
import org.acaciaflow.protocol.http.ServerSentEvents
import org.acaciaflow.protocol.record.StoredExecutionRecords
import org.acaciaflow.protocol.suspect.StoredSuspectRecords
import org.acaciaflow.state.configuration.CallCondition
import org.acaciaflow.state.configuration.CallMatch
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.configuration.Deployment
import org.acaciaflow.state.configuration.IdentitySource
import org.acaciaflow.state.configuration.Repeatability
import org.acaciaflow.state.configuration.WorkKind
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.TeamName
import org.acaciaflow.state.identity.WorkKindName
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.WorkEstimate
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/** Runs the real gateway core on fake ports; [kill] cancels all of its coroutines. */
internal class FakeGateway(
    index: Int,
    startNumber: Long,
    parent: CoroutineScope,
    store: KeyValueStore,
    connections: SidecarConnections,
    private val registerSidecars: (GatewayTables) -> Unit,
    private val clock: Clock,
    random: Random,
) {
    private val scope = CoroutineScope(parent.coroutineContext + Job(parent.coroutineContext[Job]))
    private val tables = createGatewayTables()
    private val wakeUp = WakeUp()
    private val core =
        createGatewayCore(
            tables,
            GatewayPorts(
                records = StoredExecutionRecords(store),
                suspects = StoredSuspectRecords(store),
                connections = connections,
                bodyReader = JsonBodyReader(),
                framing = ServerSentEvents,
                observations = NoOpObservations,
                clock = clock,
            ),
            GatewayRules(
                process = ProcessIdentity(HostAddress("127.0.0.1", FIRST_PORT + index), startNumber),
                dataCentre = DataCentre("suba"),
                limits = QueueLimits.DEFAULT,
                dispatch =
                    DispatchPolicy(
                        QueuePolicy.RankedWithFloors(QueueLimits.DEFAULT),
                        SelectionPolicy.LeastPredicted(2),
                    ),
            ),
            wakeUp,
            random,
        )

    init {
        tables.configuration.update { CONFIGURATION }
        repeat(WORKERS) { scope.launch { while (true) core.worker.serveNext() } }
        scope.launch { runPeriodicTasks() }
    }

    fun accept(exchange: FakeCallerExchange) {
        scope.launch { core.arrivals.accept(exchange) }
    }

    fun kill() = scope.cancel()

    private suspend fun runPeriodicTasks() {
        while (true) {
            registerSidecars(tables)
            wakeUp.signal()
            core.worker.refuseExpired(clock.now())
            delay(TICK_MILLISECONDS)
        }
    }

    private companion object {
        const val FIRST_PORT = 8000
        const val WORKERS = 8
        const val TICK_MILLISECONDS = 50L

        val CLAIM_FILING =
            WorkKind(
                name = WorkKindName("claim-filing"),
                rank = Rank.URGENT,
                match = CallMatch(persistentListOf(CallCondition.PathPrefix("/claims"))),
                repeatability = Repeatability.AtMostOnce(IdentitySource.Header(FakeSidecars.CLAIM_HEADER)),
                target = 1.seconds,
                deadline = 5.seconds,
                worth = 1.0,
                expected = WorkEstimate.PLAIN_CALL,
            )
        val THREAD_QUERY =
            CLAIM_FILING.copy(
                name = WorkKindName("thread-query"),
                match = CallMatch(persistentListOf(CallCondition.PathPrefix("/v1/"))),
                repeatability = Repeatability.Repeatable,
            )
        val DEPLOYMENT =
            Deployment(
                DeploymentName("register"),
                TeamName("registro"),
                FakeSidecars.POOL,
                persistentListOf(CLAIM_FILING, THREAD_QUERY),
            )
        val CONFIGURATION =
            Configuration(
                revision = 1,
                pools = persistentMapOf(),
                deployments = persistentMapOf(DEPLOYMENT.name to DEPLOYMENT),
            )
    }
}
