package org.acaciaflow.coordination.engine

import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptCache
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Chooses how a generation gets to its first event.
 *
 * Each way is rated by the risk that its predicted first event is late, by the KV cache that it moves and by the work
 * that it makes; the lowest rating wins. All ratings are in shares of the worth of the request.
 */
object EnginePlanner {
    /** The best way for [prompt] as of [now], to be served within [target]; null when no engine can take it. */
    fun choose(
        view: EngineView,
        prompt: Prompt,
        target: Duration,
        now: Instant,
    ): EnginePath? {
        val decoders = view.engines.filter { it.role != EngineRole.PREFILL }
        if (decoders.isEmpty()) return null
        val roomy = decoders.filter { holds(view, it, prompt) }
        val readers = view.engines.filter { it.role == EngineRole.PREFILL }
        val mean = ReliabilityPolicy.mean(view.records, view.engines.map { it.life })
        val straight = roomy.ifEmpty { decoders }.map { rated(straight(view, it, prompt, now), it, view, mean, target) }
        val handovers = readers.map { rated(handover(view, it, prompt, now), it, view, mean, target) }
        return (straight + handovers).minBy { it.rating }.path
    }

    /** True when some decoder has memory for [prompt] and a slot not kept for requests more urgent than [urgency]. */
    fun hasRoom(
        view: EngineView,
        prompt: Prompt,
        urgency: Int,
    ): Boolean {
        val share = (1.0 - RESERVED_SHARE * urgency).coerceAtLeast(LEAST_SHARE)
        val open = (view.properties.slots * share).toInt()
        return view.engines.any {
            it.role != EngineRole.PREFILL && view.load.runningAt(it.life) < open && holds(view, it, prompt)
        }
    }

    /** The engine to go on with KV cache that was read elsewhere; null when there is none. */
    fun chooseDecoder(
        view: EngineView,
        prompt: Prompt,
        now: Instant,
    ): BackendEntry? {
        val decoders = view.engines.filter { it.role != EngineRole.PREFILL }
        val roomy = decoders.filter { holds(view, it, prompt) }
        val mean = ReliabilityPolicy.mean(view.records, view.engines.map { it.life })
        return roomy.ifEmpty { decoders }.minByOrNull { decoder ->
            val excess = ReliabilityPolicy.excess(view.records[decoder.life], mean)
            val zone = if (decoder.dataCentre == view.ownDataCentre) 0.0 else REMOTE_ZONE_MILLISECONDS
            milliseconds(view.load.backlogAt(decoder.life, now)) * BACKLOG_INTERFERENCE +
                view.load.runningAt(decoder.life) + excess * UNRELIABLE_MILLISECONDS + zone
        }
    }

    /** Predicted time that [engine] works until the first token, without waiting. */
    fun workOf(
        view: EngineView,
        engine: BackendEntry,
        prompt: Prompt,
    ): Duration {
        val cache = view.caches[engine.life] ?: PromptCache.EMPTY
        val cached = PromptCaches.cachedTokens(cache, prompt.parts).coerceAtMost(prompt.promptTokens)
        val fresh = prompt.promptTokens - cached
        val rate = if (engine.role == EngineRole.PREFILL) view.rates.prefill else view.rates.interleaved
        val pairs = fresh.toDouble() * (cached + fresh / 2.0)
        val attentionScale = view.rates.prefill / rate
        return (fresh / rate + pairs * ATTENTION_MILLISECONDS_PER_PAIR * attentionScale).milliseconds
    }

    /** False when the memory of [decoder] would run out, so that it had to drop a running request. */
    private fun holds(
        view: EngineView,
        decoder: BackendEntry,
        prompt: Prompt,
    ): Boolean {
        val needed = prompt.promptTokens + prompt.maximumOutputTokens
        return view.load.tokensAt(decoder.life) + needed <= view.properties.cacheTokens
    }

    private fun straight(
        view: EngineView,
        decoder: BackendEntry,
        prompt: Prompt,
        now: Instant,
    ): EnginePath.Straight {
        val work = workOf(view, decoder, prompt)
        val predicted = view.load.backlogAt(decoder.life, now) + work + decodingDelay(view, decoder)
        return EnginePath.Straight(decoder, work, predicted)
    }

    /** Time until [decoder] makes the first token of a prompt that it knows: a step, after waiting for a free slot. */
    private fun decodingDelay(
        view: EngineView,
        decoder: BackendEntry,
    ): Duration {
        val running = view.load.runningAt(decoder.life)
        val waiting = (running - view.properties.slots + 1).coerceAtLeast(0)
        return STEP + STEP_PER_RUNNING * running + STREAM_DURATION * waiting / view.properties.slots
    }

    private fun handover(
        view: EngineView,
        reader: BackendEntry,
        prompt: Prompt,
        now: Instant,
    ): EnginePath.Handover {
        val work = workOf(view, reader, prompt)
        val bits = prompt.promptTokens * view.properties.tokenBytes * BITS_PER_BYTE
        val transfer = (bits / view.properties.linkBitsPerMillisecond).milliseconds + TRANSFER_SETUP
        val decoding = view.engines.filter { it.role != EngineRole.PREFILL }.minOf { decodingDelay(view, it) }
        val predicted = view.load.backlogAt(reader.life, now) + work + transfer + decoding
        return EnginePath.Handover(reader, work, predicted)
    }

    private fun rated(
        path: EnginePath,
        engine: BackendEntry,
        view: EngineView,
        mean: Double,
        target: Duration,
    ): RatedPath {
        val relative = path.predicted / target
        val lateRisk = ((relative - SAFE_SHARE) / (CERTAIN_SHARE - SAFE_SHARE)).coerceIn(0.0, 1.0)
        val side =
            when (path) {
                is EnginePath.Handover -> HANDOVER_COST
                is EnginePath.Straight -> milliseconds(path.work) * INTERFERENCE_COST
            }
        val excess = ReliabilityPolicy.excess(view.records[engine.life], mean)
        val zone = if (engine.dataCentre == view.ownDataCentre) 0.0 else REMOTE_ZONE_COST
        return RatedPath(path, lateRisk + relative * DELAY_COST + side + excess * UNRELIABLE_COST + zone)
    }

    private fun milliseconds(duration: Duration): Double = duration.toDouble(DurationUnit.MILLISECONDS)

    private data class RatedPath(
        val path: EnginePath,
        val rating: Double,
    )

    private const val BITS_PER_BYTE = 8.0
    private const val RESERVED_SHARE = 0.12 // of the slots, for each rank of urgency above
    private const val LEAST_SHARE = 0.6
    private const val SAFE_SHARE = 0.4 // predictions err by less than this share of the target
    private const val CERTAIN_SHARE = 1.3
    private const val DELAY_COST = 0.1
    private const val HANDOVER_COST = 0.01 // moving KV cache loads links and both engines
    private const val INTERFERENCE_COST = 0.002 // a millisecond of reading delays the streams of a decoder by as much
    private const val UNRELIABLE_COST = 1.0
    private const val UNRELIABLE_MILLISECONDS = 200.0
    private const val REMOTE_ZONE_COST = 0.003
    private const val REMOTE_ZONE_MILLISECONDS = 1.0
    private const val BACKLOG_INTERFERENCE = 0.2 // reading is done between the tokens of running requests
    private const val ATTENTION_MILLISECONDS_PER_PAIR = 0.275e-6 // share of attention in reading long prompts
    private val STEP: Duration = 5.milliseconds // one step of a batch and both ways on the network
    private val STEP_PER_RUNNING: Duration = 0.015.milliseconds
    private val STREAM_DURATION: Duration = 2.seconds // a few hundred tokens at some milliseconds each
    private val TRANSFER_SETUP: Duration = 1.2.milliseconds
}
