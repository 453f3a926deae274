package org.acaciaflow.coordination.load

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.coordination.engine.EnginePath
import org.acaciaflow.coordination.engine.EnginePlanner
import org.acaciaflow.coordination.engine.EngineView
import org.acaciaflow.coordination.engine.RateEstimator
import org.acaciaflow.coordination.relay.ENGINE_POOL
import org.acaciaflow.coordination.relay.OWN_DATA_CENTRE
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.BackendLoad
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.route.EngineProperties
import org.acaciaflow.state.route.RequestKind
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A kind of generation in a [FleetSimulation]: its uncached prompt, its target and its share of the arrivals. */
internal data class SimulatedKind(
    val promptTokens: Int,
    val target: Duration,
    val share: Double,
)

/** The size and load of a [FleetSimulation]; [perSecond] requests arrive, [reportAge] is the interval of reports. */
internal data class SimulatedFleet(
    val gateways: Int,
    val prefillEngines: Int,
    val decodeEngines: Int,
    val perSecond: Double,
    val reportAge: Duration,
    val kinds: List<SimulatedKind>,
)

/** The result of a run; [peakOverMean] compares the busiest prefill engine with the mean of all. */
internal data class SimulatedOutcome(
    val onTime: Double,
    val peakOverMean: Double,
    val meanDelay: Duration,
)

/**
 * Gateways that plan generations with the real decision code, in virtual time.
 *
 * An engine prefills a piece of each of its prompts in every step. Every gateway knows its own jobs at once and those
 * of the others as of the last reports.
 */
internal class FleetSimulation(
    private val fleet: SimulatedFleet,
    seed: Int,
) {
    private val random = Random(seed)
    private val start = Instant.fromEpochSeconds(1_000)
    private val engines =
        engines("prefill", fleet.prefillEngines, EngineRole.PREFILL) +
            engines("decode", fleet.decodeEngines, EngineRole.DECODE)
    private val queues = HashMap<BackendLife, MutableList<SimulatedJob>>()
    private val busy = HashMap<BackendLife, Duration>()
    private val loads = MutableList(fleet.gateways) { FleetLoad.NONE }
    private val reports = MutableList<Map<BackendLife, RemoteLoad>>(fleet.gateways) { emptyMap() }
    private val total = HashMap<BackendLife, RemoteLoad>()
    private val events = PriorityQueue<SimulatedEvent>(compareBy { it.at })
    private var jobs = 0L
    private var onTime = 0
    private var served = 0
    private var delays = Duration.ZERO

    /** Plays [length] of traffic and returns what became of it. */
    fun play(length: Duration): SimulatedOutcome {
        events.add(SimulatedEvent.Arrival(start))
        repeat(fleet.gateways) { events.add(SimulatedEvent.Report(start + fleet.reportAge * random.nextDouble(), it)) }
        while (true) {
            val event = events.poll() ?: break
            if (event.at > start + length) break
            when (event) {
                is SimulatedEvent.Arrival -> arrive(event.at)
                is SimulatedEvent.Step -> endStep(event)
                is SimulatedEvent.Report -> report(event)
            }
        }
        val work = engines.filter { it.role == EngineRole.PREFILL }.map { busy[it.life] ?: Duration.ZERO }
        val mean = work.fold(Duration.ZERO, Duration::plus) / work.size
        return SimulatedOutcome(onTime.toDouble() / served, work.max() / mean, delays / served)
    }

    private fun arrive(now: Instant) {
        events.add(SimulatedEvent.Arrival(now + (-ln(1 - random.nextDouble()) * 1000 / fleet.perSecond).milliseconds))
        val kind = drawKind()
        val prompt = Prompt(persistentListOf(PromptPart(random.nextLong(), kind.promptTokens)), kind.promptTokens, 40)
        val gateway = random.nextInt(fleet.gateways)
        val path = EnginePlanner.choose(viewOf(gateway, now), prompt, routeOf(kind), now, random) ?: return
        val (engine, work) =
            when (path) {
                is EnginePath.LocalPrefill -> path.engine to path.work
                is EnginePath.RemotePrefill -> path.prefillEngine to path.work
            }
        busy[engine.life] = (busy[engine.life] ?: Duration.ZERO) + work
        val job = SimulatedJob(JobIdentity(jobs++), gateway, kind, now, work)
        loads[gateway] = LoadLedger.sent(loads[gateway], engine.life, job.identity, work, kind.promptTokens, now)
        val queue = queues.getOrPut(engine.life) { mutableListOf() }
        queue += job
        if (queue.size == 1) startStep(engine, now)
    }

    /** Starts a step of [engine], in which it prefills one piece of each of its prompts. */
    private fun startStep(
        engine: BackendEntry,
        now: Instant,
    ) {
        val piece = if (engine.role == EngineRole.PREFILL) PREFILL_PIECE else LOCAL_PIECE
        val queue = queues.getValue(engine.life)
        val done = queue.associateWith { minOf(it.remaining, piece) }
        val length = done.values.fold(Duration.ZERO, Duration::plus)
        events.add(SimulatedEvent.Step(now + length, engine, done))
    }

    private fun endStep(event: SimulatedEvent.Step) {
        val queue = queues.getValue(event.engine.life)
        event.done.forEach { (job, piece) -> job.remaining -= piece }
        val finished = event.done.keys.filter { it.remaining <= Duration.ZERO }
        queue.removeAll(finished)
        finished.forEach { finish(it, event.engine.life, event.at) }
        if (queue.isNotEmpty()) startStep(event.engine, event.at)
    }

    private fun finish(
        job: SimulatedJob,
        life: BackendLife,
        now: Instant,
    ) {
        loads[job.gateway] = LoadLedger.ended(loads[job.gateway], life, job.identity, now)
        served += 1
        delays += now - job.arrivedAt
        if (now - job.arrivedAt <= job.kind.target) onTime += 1
    }

    private fun report(event: SimulatedEvent.Report) {
        events.add(SimulatedEvent.Report(event.at + fleet.reportAge, event.gateway))
        val next = loads[event.gateway].own.filterValues { it.jobs.isNotEmpty() }.mapValues { remoteLoadOf(it.value) }
        reports[event.gateway].forEach { (life, load) -> total.merge(life, load, ::minus) }
        next.forEach { (life, load) -> total.merge(life, load, RemoteLoad::plus) }
        reports[event.gateway] = next
    }

    /** What [gateway] knows at [now]: its own jobs, and the others' as of their last reports. */
    private fun loadOf(
        gateway: Int,
        now: Instant,
    ): FleetLoad {
        val own = reports[gateway]
        val others = total.mapValues { (life, load) -> own[life]?.let { minus(load, it) } ?: load }
        return loads[gateway].copy(remote = others.toPersistentMap(), remoteMeasuredAt = now - fleet.reportAge / 2)
    }

    private fun minus(
        sum: RemoteLoad,
        part: RemoteLoad,
    ) = RemoteLoad(
        sum.work - part.work,
        sum.waiting - part.waiting,
        sum.running - part.running,
        sum.tokens - part.tokens,
    )

    private fun remoteLoadOf(load: BackendLoad) =
        RemoteLoad(load.waitingWork, load.waitingJobs, load.jobs.size, load.tokens)

    private fun drawKind(): SimulatedKind {
        var rest = random.nextDouble() * fleet.kinds.sumOf { it.share }
        return fleet.kinds.firstOrNull {
            rest -= it.share
            rest < 0
        } ?: fleet.kinds.last()
    }

    private fun routeOf(kind: SimulatedKind) =
        route(RequestKind.EventStream(resumable = true), ENGINE_POOL).copy(target = kind.target)

    private fun viewOf(
        gateway: Int,
        now: Instant,
    ) = EngineView(
        engines = engines,
        load = loadOf(gateway, now),
        caches = persistentMapOf(),
        reliability = persistentMapOf(),
        rates = RateEstimator.INITIAL,
        averagePrefill = null,
        properties = PROPERTIES,
        ownDataCentre = OWN_DATA_CENTRE,
    )

    private fun engines(
        name: String,
        count: Int,
        role: EngineRole,
    ): List<BackendEntry> = (1..count).map { backend("$name-$it", ENGINE_POOL, role) }

    private class SimulatedJob(
        val identity: JobIdentity,
        val gateway: Int,
        val kind: SimulatedKind,
        val arrivedAt: Instant,
        var remaining: Duration,
    )

    private sealed interface SimulatedEvent {
        val at: Instant

        data class Arrival(
            override val at: Instant,
        ) : SimulatedEvent

        data class Step(
            override val at: Instant,
            val engine: BackendEntry,
            val done: Map<SimulatedJob, Duration>,
        ) : SimulatedEvent

        data class Report(
            override val at: Instant,
            val gateway: Int,
        ) : SimulatedEvent
    }

    private companion object {
        val PREFILL_PIECE = 12.8.milliseconds // 1,024 tokens
        val LOCAL_PIECE = 10.7.milliseconds // 256 tokens
        val PROPERTIES =
            EngineProperties(
                slots = 64,
                cacheTokens = 1_000_000,
                tokenBytes = 20_000,
                linkBitsPerMillisecond = 1.0e9,
            )
    }
}
