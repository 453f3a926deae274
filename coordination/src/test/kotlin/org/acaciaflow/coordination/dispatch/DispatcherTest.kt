package org.acaciaflow.coordination.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.coordination.gateway.createGatewayTables
import org.acaciaflow.coordination.queue.EnqueueOutcome
import org.acaciaflow.coordination.queue.QueueLimits
import org.acaciaflow.coordination.queue.QueuePolicy
import org.acaciaflow.coordination.queue.WaitingQueue
import org.acaciaflow.coordination.selection.SelectionPolicy
import org.acaciaflow.state.backend.Availability
import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.backend.LoadReport
import org.acaciaflow.state.identity.AttemptIdentityFactory
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.TeamName
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.identity.WorkKindName
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.RequestProfile
import org.acaciaflow.state.work.WorkEstimate
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class DispatcherTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000_000)
    private val pool = PoolName("loom-models")
    private val limits = QueueLimits.DEFAULT
    private var lastTicket = 0L

    @Test
    fun `an urgent request is dispatched before requests that have waited longer`() {
        val tables = tablesWithServer(capacity = 100)
        repeat(5) { enqueue(tables, Rank.BACKGROUND, "registro") }
        enqueue(tables, Rank.URGENT, "registro")

        val first = dispatcher(tables).next(now)

        first?.request?.profile?.rank shouldBe Rank.URGENT
    }

    @Test
    fun `every rank keeps its floor under a flood of urgent requests`() {
        val tables = tablesWithServer(capacity = 10_000)
        Rank.entries.forEach { rank -> repeat(200) { enqueue(tables, rank, "registro") } }
        val dispatcher = dispatcher(tables)

        val ranks =
            (1..200).mapNotNull {
                dispatcher
                    .next(now)
                    ?.request
                    ?.profile
                    ?.rank
            }

        ranks.count { it == Rank.STANDARD } shouldBeInRange 38..42
        ranks.count { it == Rank.BACKGROUND } shouldBeInRange 8..12
    }

    @Test
    fun `a flood from one team leaves half of the rank to the other team`() {
        val tables = tablesWithServer(capacity = 10_000)
        repeat(200) { enqueue(tables, Rank.STANDARD, "flooding") }
        repeat(50) { enqueue(tables, Rank.STANDARD, "modest") }
        val dispatcher = dispatcher(tables)

        val teams =
            (1..100).mapNotNull {
                dispatcher
                    .next(now)
                    ?.request
                    ?.profile
                    ?.team
                    ?.name
            }

        teams.count { it == "modest" } shouldBe 50
    }

    @Test
    fun `a full queue refuses a request as not run`() {
        val tables = tablesWithServer(capacity = 1)
        repeat(limits.perTeam) { enqueue(tables, Rank.STANDARD, "registro") }

        val outcome = enqueue(tables, Rank.STANDARD, "registro")

        outcome shouldBe EnqueueOutcome.Refused(NotRun.QUEUE_FULL)
    }

    @Test
    fun `a server is assigned no more than its capacity and no request past its deadline`() {
        val tables = tablesWithServer(capacity = 2)
        repeat(5) { enqueue(tables, Rank.STANDARD, "registro") }
        val dispatcher = dispatcher(tables)

        val assigned = (1..5).mapNotNull { dispatcher.next(now) }
        dispatcher.release(assigned.first())
        val late = dispatcher.next(now + 20.seconds)
        val inTime = dispatcher.next(now)

        assigned.size shouldBe 2
        late shouldBe null
        inTime?.request?.ticket shouldBe Ticket(3)
    }

    private fun tablesWithServer(capacity: Int): GatewayTables {
        val tables = createGatewayTables()
        val server =
            BackendServer(
                process = ProcessIdentity(HostAddress("127.0.0.1", 7000), startNumber = 1),
                pool = pool,
                dataCentre = DataCentre("suba"),
                availability = Availability.Serving,
                role = EngineRole.MIXED,
                load = LoadReport.NONE.copy(capacity = capacity),
                outstanding = persistentMapOf(),
            )
        tables.servers.update { it.added(server) }
        return tables
    }

    private fun dispatcher(tables: GatewayTables): Dispatcher =
        Dispatcher(
            waiting = tables.waiting,
            servers = tables.servers,
            suspects = tables.suspects,
            attempts = AttemptIdentityFactory(ProcessIdentity(HostAddress("127.0.0.1", 8000), startNumber = 2)),
            ownDataCentre = DataCentre("suba"),
            policy = DispatchPolicy(QueuePolicy.RankedWithFloors(limits), SelectionPolicy.LeastPredicted(2)),
            random = Random(SEED),
        )

    private fun enqueue(
        tables: GatewayTables,
        rank: Rank,
        team: String,
    ): EnqueueOutcome {
        lastTicket += 1
        val request =
            WaitingRequest(Ticket(lastTicket), profile(rank, team), arrivedAt = now, excluded = persistentSetOf())
        return tables.waiting.transition { WaitingQueue.enqueue(it, request, limits) }
    }

    private fun profile(
        rank: Rank,
        team: String,
    ): RequestProfile =
        RequestProfile(
            deployment = DeploymentName("registro-models"),
            team = TeamName(team),
            pool = pool,
            kind = WorkKindName("kind"),
            rank = rank,
            atMostOnce = null,
            estimate = WorkEstimate(promptTokens = 200, outputTokens = 10),
            digest = RequestDigest("00"),
            prefix = null,
            deadline = now + 10.seconds,
        )

    @BeforeEach
    fun resetTickets() {
        lastTicket = 0
    }

    private companion object {
        const val SEED = 4204
    }
}
