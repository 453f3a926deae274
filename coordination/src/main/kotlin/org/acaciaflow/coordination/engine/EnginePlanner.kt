package org.acaciaflow.coordination.engine

import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptCache
import org.acaciaflow.state.route.Route
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Chooses the engines that prefill and decode a generation.
 *
 * The cost of a path is that of [EngineCosts]; the lowest cost wins.
 */
object EnginePlanner {
    /**
     * Returns the cheapest path for [prompt] of a request of [route]; null if the pool has no decode engine.
     *
     * Costs include a random share of the work that other gateways may have sent since their last messages, so that
     * gateways with the same knowledge don't all choose the same engine.
     */
    fun choose(
        view: EngineView,
        prompt: Prompt,
        route: Route,
        now: Instant,
        random: Random,
    ): EnginePath? {
        val decodeEngines = view.engines.filter { it.role != EngineRole.PREFILL }
        if (decodeEngines.isEmpty()) return null
        val fitting = decodeEngines.filter { fits(view, it, prompt) }
        val prefillEngines = view.engines.filter { it.role == EngineRole.PREFILL }
        val decoding = decodeEngines.minOf { firstTokenDelay(view, it) }
        val cached = view.engines.associate { it.life to cachedTokens(view, it, prompt) }
        val costs = EngineCosts.forPrompt(view, prompt, route.target, cached)
        val paths =
            fitting.ifEmpty { decodeEngines }.map { engine ->
                localPrefill(view, engine, prefillTime(view, engine, prompt, cached.getValue(engine.life)), now)
            } +
                prefillEngines.map { engine ->
                    val work = prefillTime(view, engine, prompt, cached.getValue(engine.life))
                    remotePrefill(view, engine, prompt, work, route.urgency, decoding, now)
                }
        return paths.minBy { costs.of(it, UnseenWork.drawDuration(view.load, now, random)) }
    }

    /** Returns true if a decode engine has memory for [prompt] and a slot not reserved for more urgent requests. */
    fun hasRoom(
        view: EngineView,
        prompt: Prompt,
        urgency: Int,
    ): Boolean {
        val share = (1.0 - RESERVED_SLOT_SHARE * urgency).coerceAtLeast(MINIMUM_SLOT_SHARE)
        val open = (view.properties.slots * share).toInt()
        return view.engines.any {
            it.role != EngineRole.PREFILL && view.load.runningAt(it.life) < open && fits(view, it, prompt)
        }
    }

    /** Chooses the engine that decodes after a remote prefill; null if the pool has no decode engine. */
    fun chooseDecodeEngine(
        view: EngineView,
        prompt: Prompt,
        now: Instant,
        random: Random,
    ): BackendEntry? {
        val decodeEngines = view.engines.filter { it.role != EngineRole.PREFILL }
        val fitting = decodeEngines.filter { fits(view, it, prompt) }
        val mean = ReliabilityPolicy.meanFailureShare(view.reliability, view.engines.map { it.life })
        return fitting.ifEmpty { decodeEngines }.minByOrNull { engine ->
            val excess = ReliabilityPolicy.excessFailureShare(view.reliability[engine.life], mean)
            val remote = if (engine.dataCentre == view.ownDataCentre) 0.0 else REMOTE_DATA_CENTRE_MILLISECONDS
            milliseconds(view.load.backlogAt(engine.life, now)) * BACKLOG_INTERFERENCE +
                view.load.runningAt(engine.life) + excess * UNRELIABLE_MILLISECONDS + remote +
                UnseenWork.drawRequests(view.load, now, random)
        }
    }

    /** Predicts how long [engine] takes to prefill the uncached tokens of [prompt], without queueing time. */
    fun prefillTime(
        view: EngineView,
        engine: BackendEntry,
        prompt: Prompt,
    ): Duration = prefillTime(view, engine, prompt, cachedTokens(view, engine, prompt))

    private fun prefillTime(
        view: EngineView,
        engine: BackendEntry,
        prompt: Prompt,
        cached: Int,
    ): Duration {
        val fresh = prompt.promptTokens - cached
        val rate = rateOf(view, engine)
        val pairs = fresh.toDouble() * (cached + fresh / 2.0)
        val attentionScale = view.rates.prefill / rate
        return (fresh / rate + pairs * ATTENTION_MILLISECONDS_PER_PAIR * attentionScale).milliseconds
    }

    /** Returns the prefill that [path] includes, in uncached prompt tokens with the cost of attention. */
    fun prefillTokens(
        view: EngineView,
        path: EnginePath,
    ): Double = milliseconds(path.work) * rateOf(view, path.prefilledBy)

    /** Returns how many tokens [engine] prefills in a millisecond. */
    private fun rateOf(
        view: EngineView,
        engine: BackendEntry,
    ): Double = if (engine.role == EngineRole.PREFILL) view.rates.prefill else view.rates.interleaved

    /** Returns how many tokens at the start of [prompt] [engine] is presumed to have in its KV cache. */
    private fun cachedTokens(
        view: EngineView,
        engine: BackendEntry,
        prompt: Prompt,
    ): Int {
        val cache = view.caches[engine.life] ?: PromptCache.EMPTY
        return PromptCaches.cachedTokens(cache, prompt.parts).coerceAtMost(prompt.promptTokens)
    }

    /** Returns false if [engine] could run out of memory with [prompt] and then have to drop a running request. */
    private fun fits(
        view: EngineView,
        engine: BackendEntry,
        prompt: Prompt,
    ): Boolean {
        val needed = prompt.promptTokens + prompt.maximumOutputTokens
        return view.load.tokensAt(engine.life) + needed <= view.properties.cacheTokens
    }

    private fun localPrefill(
        view: EngineView,
        engine: BackendEntry,
        work: Duration,
        now: Instant,
    ): EnginePath.LocalPrefill {
        val predicted = queueingDelay(view, engine, work, now) + work + firstTokenDelay(view, engine)
        return EnginePath.LocalPrefill(engine, work, predicted)
    }

    /**
     * Predicts how long a prefill of [work] at [engine] is delayed by other jobs.
     *
     * An engine prefills all its prompts a piece at a time in turn, so a job waits for as much of each other job as it
     * takes itself, and at least for one piece. The delay is that of an average job of the route: the long prompts of a
     * route would otherwise be refused at queues at which its short ones are served.
     */
    private fun queueingDelay(
        view: EngineView,
        engine: BackendEntry,
        work: Duration,
        now: Instant,
    ): Duration {
        val piece =
            when (engine.role) {
                EngineRole.PREFILL -> (PIECE_TOKENS / view.rates.prefill).milliseconds
                EngineRole.DECODE, EngineRole.MIXED -> (LOCAL_PIECE_TOKENS / view.rates.interleaved).milliseconds
            }
        val averageWork = view.averagePrefill?.let { (it / rateOf(view, engine)).milliseconds } ?: work
        val inTurn = maxOf(averageWork, piece) * view.load.waitingAt(engine.life)
        return minOf(view.load.backlogAt(engine.life, now), inTurn)
    }

    /** Predicts the time to the first token after prefill: the wait for a free slot on [engine] and one step. */
    private fun firstTokenDelay(
        view: EngineView,
        engine: BackendEntry,
    ): Duration {
        val running = view.load.runningAt(engine.life)
        val waiting = (running - view.properties.slots + 1).coerceAtLeast(0)
        return DECODE_STEP + DECODE_STEP_PER_REQUEST * running + STREAM_DURATION * waiting / view.properties.slots
    }

    private fun remotePrefill(
        view: EngineView,
        engine: BackendEntry,
        prompt: Prompt,
        work: Duration,
        urgency: Int,
        decoding: Duration,
        now: Instant,
    ): EnginePath.RemotePrefill {
        val bits = prompt.promptTokens * view.properties.tokenBytes * BITS_PER_BYTE
        val transfer = (bits / view.properties.linkBitsPerMillisecond).milliseconds + TRANSFER_SETUP_TIME
        val queued = queueingDelay(view, engine, work, now) + work
        val predicted = queued * view.rates.delayFactor(urgency) + transfer + decoding
        return EnginePath.RemotePrefill(engine, queued, work, predicted)
    }

    private fun milliseconds(duration: Duration): Double = duration.toDouble(DurationUnit.MILLISECONDS)

    private const val PIECE_TOKENS = 1024.0
    private const val LOCAL_PIECE_TOKENS = PIECE_TOKENS / 4 // a decode engine interleaves smaller pieces
    private const val BITS_PER_BYTE = 8.0
    private const val RESERVED_SLOT_SHARE = 0.12 // held free for each level of urgency above the request's own
    private const val MINIMUM_SLOT_SHARE = 0.6
    private const val UNRELIABLE_MILLISECONDS = 200.0
    private const val REMOTE_DATA_CENTRE_MILLISECONDS = 1.0
    private const val BACKLOG_INTERFERENCE = 0.2 // prefill is interleaved with the decode steps of running requests
    private const val ATTENTION_MILLISECONDS_PER_PAIR = 0.275e-6 // attention, noticeable in long prompts
    private val DECODE_STEP: Duration = 5.milliseconds // one batch step and a network round trip
    private val DECODE_STEP_PER_REQUEST: Duration = 0.015.milliseconds
    private val STREAM_DURATION: Duration = 2.seconds // a few hundred tokens at a few milliseconds each
    private val TRANSFER_SETUP_TIME: Duration = 1.2.milliseconds
}
