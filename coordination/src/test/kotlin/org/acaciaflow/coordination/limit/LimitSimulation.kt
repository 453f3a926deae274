package org.acaciaflow.coordination.limit

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.acaciaflow.coordination.peer.LimitGossip
import org.acaciaflow.coordination.peer.ReportTiming
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.retry.RetryWindows
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.peer.ReportedLimit
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What the gateways of a [LimitSimulation] meet; times are seconds since its start. */
internal data class LimitScenario(
    val gateways: Int,
    val servers: Int,
    val pools: Int,
    /** The limit that a server names at a time; null if none. */
    val limit: (server: Int, second: Double) -> Double?,
    /** The requests a second for one pool at a gateway. */
    val demand: (gateway: Int, second: Double) -> Double,
    val lossShare: Double = 0.0,
    /** The mean delay of a report in seconds; some reports overtake others. */
    val reportDelay: Double = 0.005,
    /** True if the gateway's reports neither leave nor arrive. */
    val isCut: (gateway: Int, second: Double) -> Boolean = { _, _ -> false },
    /** True if the gateway's reports do not leave. */
    val isSilent: (gateway: Int, second: Double) -> Boolean = { _, _ -> false },
    /** When the gateway starts; others know of it 250 ms later. */
    val startsAt: (gateway: Int) -> Double = { 0.0 },
    /** When the gateway is restarted, with nothing known. */
    val restartsAt: (gateway: Int) -> Double? = { null },
    /** Whether the gateway counts in the sum of a window that ends at this time. */
    val counts: (gateway: Int, second: Double) -> Boolean = { _, _ -> true },
)

/** A request that a server got. */
internal data class SimulatedRequest(
    val server: Int,
    val gateway: Int,
    val second: Double,
    /** True if the gateway had passed on an answer with the limit half a second before or earlier. */
    val counts: Boolean,
)

/**
 * Gateways with the real decisions on limits and simulated reports, callers and servers.
 *
 * Each call is sent to a limited server of its pool that takes it, and counts as refused if there is none.
 */
internal class LimitSimulation(
    private val scenario: LimitScenario,
    seed: Int,
) {
    private val random = Random(seed)
    private val servers = List(scenario.servers) { backend("server-$it", PoolName("pool-${it % scenario.pools}")) }
    private val serversOf = servers.withIndex().groupBy { it.value.pool }
    private val fleet = Fleet.NONE.copy(entries = servers.associateBy { it.life.instance }.toPersistentMap())
    private val lives = fleet.livesByCode()
    private val gateways = MutableList(scenario.gateways) { Gateway(it) }
    private val actions = PriorityQueue<Action>(compareBy { it.second })
    private val toldAt = mutableMapOf<Pair<Int, Int>, Double>()
    val requests = mutableListOf<SimulatedRequest>()
    var calls = 0
        private set
    var claims = 0L
        private set
    var claimNanoseconds = 0L
        private set
    var declareNanoseconds = 0L
        private set
    var declarations = 0
        private set
    var largestReport = 0
        private set

    /** Runs for [seconds]. */
    fun run(seconds: Double): LimitSimulation {
        for (index in gateways.indices) {
            val start = scenario.startsAt(index)
            actions += Action(start + random.nextDouble() * interval()) { report(index, it) }
            actions += Action(start) { callAndRepeat(index, it) }
            scenario.restartsAt(index)?.let { at -> actions += Action(at) { gateways[index] = Gateway(index) } }
        }
        while (true) {
            val action = actions.poll() ?: break
            if (action.second >= seconds) break
            action.run(action.second)
        }
        return this
    }

    /** Returns true if no gateway that runs holds back requests to [server] at [second]. */
    fun isOpenEverywhere(
        server: Int,
        second: Double,
    ): Boolean = gateways.all { it.standing(servers[server], at(second)) == LimitStanding.Open }

    private fun callAndRepeat(
        index: Int,
        second: Double,
    ) {
        val rate = scenario.demand(index, second) * scenario.pools
        val gap = if (rate > 0.0) -ln(1.0 - random.nextDouble()) / rate else IDLE_STEP
        if (rate > 0.0) actions += Action(second + minOf(gap, IDLE_STEP)) { if (gap <= IDLE_STEP) call(index, it) }
        actions += Action(second + minOf(gap, IDLE_STEP)) { callAndRepeat(index, it) }
    }

    private fun call(
        index: Int,
        second: Double,
    ) {
        val gateway = gateways[index]
        val now = at(second)
        val pool = PoolName("pool-${random.nextInt(scenario.pools)}")
        calls += 1
        gateway.tables.retryWindows.update { RetryWindows.countRequest(it, pool, now) }
        val before = System.nanoTime()
        val free = serversOf.getValue(pool).filter { gateway.standing(it.value, now) !is LimitStanding.HeldBack }
        val chosen = free.randomOrNull(random)
        val sent = chosen != null && gateway.budget.claim(chosen.value.life, "request-$calls", urgency = 0, now)
        claimNanoseconds += System.nanoTime() - before
        claims += 1
        if (chosen == null || !sent) return
        val told = toldAt[chosen.index to index]
        requests += SimulatedRequest(chosen.index, index, second, told != null && told <= second - TOLD_BEFORE)
        actions +=
            Action(second + ANSWER_TIME * random.nextDouble()) { answer(gateway, index, chosen.index, second, it) }
    }

    private fun answer(
        gateway: Gateway,
        index: Int,
        server: Int,
        sentAt: Double,
        second: Double,
    ) {
        val limit = scenario.limit(server, second)
        if (limit != null) toldAt.putIfAbsent(server to index, second)
        when (limit) {
            null -> gateway.budget.unnamed(servers[server], "request", at(sentAt), at(second))
            else -> gateway.budget.named(servers[server], "request", limit, at(second))
        }
    }

    private fun report(
        index: Int,
        second: Double,
    ) {
        val gateway = gateways[index]
        gateway.know(second)
        gateway.sequence += 1
        val before = System.nanoTime()
        val limits = gateway.gossip.reported(scenario.gateways - 1, gateway.sequence, at(second))
        declareNanoseconds += System.nanoTime() - before
        declarations += 1
        largestReport = maxOf(largestReport, limits.size)
        if (!scenario.isCut(index, second) && !scenario.isSilent(index, second)) send(index, limits, second)
        val jitter = 1.0 + REPORT_JITTER * random.nextDouble()
        actions += Action(second + interval() * jitter) { report(index, it) }
    }

    private fun send(
        index: Int,
        limits: List<ReportedLimit>,
        second: Double,
    ) {
        val sender = gateways[index]
        for (receiver in gateways.indices) {
            if (receiver == index || random.nextDouble() < scenario.lossShare) continue
            val arrival = second - ln(1.0 - random.nextDouble()) * scenario.reportDelay
            val number = sender.sequence
            actions +=
                Action(arrival) {
                    if (!scenario.isCut(receiver, it)) gateways[receiver].receive(sender, number, limits, it)
                }
        }
    }

    private fun interval(): Double = ReportTiming.interval(scenario.gateways - 1).inWholeMilliseconds / 1000.0

    private fun at(second: Double): Instant = START + second.seconds

    private inner class Gateway(
        index: Int,
    ) {
        val address = addressOf(index)
        val tables = createRelayTables()
        val budget = LimitBudget(tables, address, FakeObservations())
        val gossip = LimitGossip(tables.fleet, budget)
        var sequence = 0L
        private val heard = mutableMapOf<HostAddress, Long>()

        init {
            tables.fleet.update { fleet }
            know(second = 0.0)
        }

        fun know(second: Double) {
            val others =
                gateways0()
                    .filter { scenario.startsAt(it) == 0.0 || second > scenario.startsAt(it) + DISCOVERY }
                    .map(::addressOf)
                    .filter { it != address }
                    .toPersistentSet()
            if (tables.peers.snapshot().registered != others) tables.peers.update { it.copy(registered = others) }
        }

        fun standing(
            server: BackendEntry,
            now: Instant,
        ): LimitStanding =
            LimitTokens.standing(tables.limits.snapshot().byLife[server.life], "request", urgency = 0, now)

        fun receive(
            sender: Gateway,
            number: Long,
            limits: List<ReportedLimit>,
            second: Double,
        ) {
            if ((heard[sender.address] ?: -1) >= number && number > REORDERED) return
            heard[sender.address] = number
            gossip.receive(sender.address, limits, lives, at(second))
        }
    }

    private fun gateways0(): IntRange = 0 until scenario.gateways

    private fun addressOf(index: Int) = HostAddress("10.0.${index / 200}.${index % 200 + 1}", 7000)

    private class Action(
        val second: Double,
        val run: (Double) -> Unit,
    )

    companion object {
        private val START = Instant.fromEpochSeconds(1_000_000)
        private const val IDLE_STEP = 0.1
        private const val ANSWER_TIME = 0.1
        private const val REPORT_JITTER = 0.1
        private const val TOLD_BEFORE = 0.5
        private const val DISCOVERY = 0.25
        private const val REORDERED = 3 // the numbers of a restarted gateway begin anew
    }
}
