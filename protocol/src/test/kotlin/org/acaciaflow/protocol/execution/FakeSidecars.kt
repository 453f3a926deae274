package org.acaciaflow.protocol.execution

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.sidecar.AttemptAdmission
import org.acaciaflow.coordination.sidecar.createSidecarTables
import org.acaciaflow.state.attempt.AttemptProgress
import org.acaciaflow.state.backend.Availability
import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.backend.LoadReport
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.work.AnswerHead
import kotlin.random.Random
import kotlin.time.Duration

/** Sidecars in memory, each with the real intake, before a service that counts executions by claim. */
internal class FakeSidecars(
    private val scope: CoroutineScope,
    private val random: Random,
    private val faultShare: Double,
) : SidecarConnections {
    private var lives = (1..SIDECARS).associate { address(it) to Life(ProcessIdentity(address(it), startNumber = 1)) }

    /** How often the service executed each claim. */
    var executions: Map<String, Int> = emptyMap()
        private set

    /** Kills a sidecar and starts its next life. */
    fun replace(index: Int) {
        val killed = lives.getValue(address(index))
        killed.dead = true
        killed.streams.forEach { it.trySend(AttemptEvent.Broken(MayHaveRun.LINK_LOST)) }
        val next = killed.process.copy(startNumber = killed.process.startNumber + 1)
        lives = lives + (address(index) to Life(next))
    }

    /** Shows the current lives to a gateway. */
    fun showTo(tables: GatewayTables) {
        lives.values.forEach { life -> tables.servers.update { it.added(server(life.process)) } }
    }

    override suspend fun open(
        order: AttemptOrder,
        body: CallBody,
    ): AttemptStream {
        val events = Channel<AttemptEvent>(Channel.UNLIMITED)
        scope.launch { deliver(order, body, events) }
        return FakeStream(events)
    }

    override suspend fun settle(
        attempt: AttemptIdentity,
        sidecar: ProcessIdentity,
        timeout: Duration,
    ): SettleAnswer {
        delay(random.nextLong(MAXIMUM_DELAY))
        if (random.nextDouble() < faultShare) return SettleAnswer.Unreachable
        return lives.getValue(sidecar.address).admission.settle(attempt, sidecar)
    }

    /** Hands the order over after a pause that can be long, as if the gateway had been stopped meanwhile. */
    private suspend fun deliver(
        order: AttemptOrder,
        body: CallBody,
        events: Channel<AttemptEvent>,
    ) {
        delay(if (random.nextDouble() < faultShare) random.nextLong(PAUSE) else random.nextLong(MAXIMUM_DELAY))
        val life = lives.getValue(order.sidecar.address)
        life.streams = life.streams + events
        if (random.nextDouble() < faultShare) events.trySend(AttemptEvent.Broken(MayHaveRun.LINK_LOST))
        val refusal = life.admission.admit(order) ?: busy(life, order)
        if (refusal != null) {
            events.trySend(AttemptEvent.Refused(refusal))
            return
        }
        execute(life, order, body, events)
    }

    private fun busy(
        life: Life,
        order: AttemptOrder,
    ): AttemptRefusal? {
        if (random.nextDouble() >= faultShare) return null
        life.admission.finish(order, AttemptProgress.Tombstoned)
        return AttemptRefusal.CONNECTION_REFUSED
    }

    private suspend fun execute(
        life: Life,
        order: AttemptOrder,
        body: CallBody,
        events: Channel<AttemptEvent>,
    ) {
        delay(random.nextLong(MAXIMUM_DELAY))
        if (life.dead) return
        val claim = checkNotNull(order.call.header(CLAIM_HEADER))
        val count = (executions[claim] ?: 0) + 1
        executions = executions + (claim to count)
        delay(random.nextLong(EXECUTION))
        if (life.dead) return
        val answer = StoredAnswer(SUCCESS, persistentListOf(), "$claim-$count".encodeToByteString())
        life.admission.finish(order, AttemptProgress.Completed(answer))
        events.trySend(AttemptEvent.Head(AnswerHead(SUCCESS, persistentListOf())))
        events.trySend(AttemptEvent.Data(answer.body))
        events.trySend(AttemptEvent.End)
    }

    private fun server(process: ProcessIdentity): BackendServer =
        BackendServer(
            process = process,
            pool = POOL,
            dataCentre = DataCentre("suba"),
            availability = Availability.Serving,
            role = EngineRole.MIXED,
            load = LoadReport.NONE.copy(capacity = CAPACITY),
            outstanding = persistentMapOf(),
        )

    private class Life(
        val process: ProcessIdentity,
    ) {
        val admission = AttemptAdmission(process, servingTables())
        var dead = false
        var streams: List<Channel<AttemptEvent>> = emptyList()
    }

    private class FakeStream(
        private val events: Channel<AttemptEvent>,
    ) : AttemptStream {
        override suspend fun next(): AttemptEvent = events.receive()

        override fun cancel() {
            events.trySend(AttemptEvent.Broken(MayHaveRun.CALLER_GONE))
        }
    }

    companion object {
        const val CLAIM_HEADER = "X-Claim"
        const val SIDECARS = 3
        val POOL = PoolName("register-app")
        private const val SUCCESS = 200
        private const val CAPACITY = 50
        private const val MAXIMUM_DELAY = 20L
        private const val EXECUTION = 400L
        private const val PAUSE = 3000L
        private const val FIRST_PORT = 7000

        private fun address(index: Int): HostAddress = HostAddress("127.0.0.1", FIRST_PORT + index)

        private fun servingTables() =
            createSidecarTables(CAPACITY, journalCapacity = 1000).also { tables ->
                tables.load.update { it.copy(phase = SidecarPhase.Serving) }
            }
    }
}
