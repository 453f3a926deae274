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

/** In-memory sidecars with real attempt admission, in front of a service that counts the executions of each claim. */
internal class FakeSidecars(
    private val scope: CoroutineScope,
    private val random: Random,
    private val faultRate: Double,
) : SidecarConnections {
    private var processes =
        (1..SIDECARS).associate { address(it) to Sidecar(ProcessIdentity(address(it), startNumber = 1)) }

    /** Number of executions by claim. */
    var executions: Map<String, Int> = emptyMap()
        private set

    /** Kills a sidecar and starts a new process at the same address. */
    fun restart(index: Int) {
        val killed = processes.getValue(address(index))
        killed.isDead = true
        killed.streams.forEach { it.trySend(AttemptEvent.Broken(MayHaveRun.LINK_LOST)) }
        val next = killed.identity.copy(startNumber = killed.identity.startNumber + 1)
        processes = processes + (address(index) to Sidecar(next))
    }

    /** Adds the running sidecar processes to a gateway's table of servers. */
    fun registerIn(tables: GatewayTables) {
        processes.values.forEach { sidecar -> tables.servers.update { it.added(server(sidecar.identity)) } }
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
        if (random.nextDouble() < faultRate) return SettleAnswer.Unreachable
        return processes.getValue(sidecar.address).admission.settle(attempt, sidecar)
    }

    /** Delivers the order after a delay, which can be as long as if the gateway process had been paused. */
    private suspend fun deliver(
        order: AttemptOrder,
        body: CallBody,
        events: Channel<AttemptEvent>,
    ) {
        delay(if (random.nextDouble() < faultRate) random.nextLong(MAXIMUM_PAUSE) else random.nextLong(MAXIMUM_DELAY))
        val sidecar = processes.getValue(order.sidecar.address)
        sidecar.streams = sidecar.streams + events
        if (random.nextDouble() < faultRate) events.trySend(AttemptEvent.Broken(MayHaveRun.LINK_LOST))
        val refusal = sidecar.admission.admit(order) ?: randomRefusal(sidecar, order)
        if (refusal != null) {
            events.trySend(AttemptEvent.Refused(refusal))
            return
        }
        execute(sidecar, order, body, events)
    }

    private fun randomRefusal(
        sidecar: Sidecar,
        order: AttemptOrder,
    ): AttemptRefusal? {
        if (random.nextDouble() >= faultRate) return null
        sidecar.admission.finish(order, AttemptProgress.Tombstoned)
        return AttemptRefusal.CONNECTION_REFUSED
    }

    private suspend fun execute(
        sidecar: Sidecar,
        order: AttemptOrder,
        body: CallBody,
        events: Channel<AttemptEvent>,
    ) {
        delay(random.nextLong(MAXIMUM_DELAY))
        if (sidecar.isDead) return
        val claim = checkNotNull(order.call.header(CLAIM_HEADER))
        val count = (executions[claim] ?: 0) + 1
        executions = executions + (claim to count)
        delay(random.nextLong(MAXIMUM_EXECUTION))
        if (sidecar.isDead) return
        val answer = StoredAnswer(HTTP_OK, persistentListOf(), "$claim-$count".encodeToByteString())
        sidecar.admission.finish(order, AttemptProgress.Completed(answer))
        events.trySend(AttemptEvent.Head(AnswerHead(HTTP_OK, persistentListOf())))
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

    private class Sidecar(
        val identity: ProcessIdentity,
    ) {
        val admission = AttemptAdmission(identity, servingTables())
        var isDead = false
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
        private const val HTTP_OK = 200
        private const val CAPACITY = 50

        // Upper bounds of the random delays, in milliseconds.
        private const val MAXIMUM_DELAY = 20L
        private const val MAXIMUM_EXECUTION = 400L
        private const val MAXIMUM_PAUSE = 3000L

        private const val FIRST_PORT = 7000

        private fun address(index: Int): HostAddress = HostAddress("127.0.0.1", FIRST_PORT + index)

        private fun servingTables() =
            createSidecarTables(CAPACITY, journalCapacity = 1000).also { tables ->
                tables.load.update { it.copy(phase = SidecarPhase.Serving) }
            }
    }
}
