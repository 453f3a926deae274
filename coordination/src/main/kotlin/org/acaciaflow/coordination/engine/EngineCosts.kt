package org.acaciaflow.coordination.engine

import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.prompt.Prompt
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Costs of the paths that a prompt with latency target [target] may take, as shares of the worth of the request.
 *
 * A cost sums the risk of a late first event, the delay, shared parts that are prefilled although another engine has
 * them, the work on the engines, their unreliability and their distance. [mostCached] is the largest number of tokens
 * of the prompt that any engine has cached, [cached] that of each engine, [home] the engine that prompts with the same shared parts prefer.
 */
internal class EngineCosts private constructor(
    private val view: EngineView,
    private val prompt: Prompt,
    private val target: Duration,
    private val meanFailureShare: Double,
    private val cached: Map<BackendLife, Int>,
    private val mostCached: Int,
    private val home: BackendEntry?,
) {
    /** Returns the cost of [path] if other gateways have sent [unseen] more work to its engine than is known. */
    fun of(
        path: EnginePath,
        unseen: Duration,
    ): Double {
        val targetShare = (path.predicted + unseen) / target
        val lateRisk = ((targetShare - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)).coerceIn(0.0, 1.0)
        val engine = path.prefilledBy
        val excess = ReliabilityPolicy.excessFailureShare(view.reliability[engine.life], meanFailureShare)
        val remote = if (engine.dataCentre == view.ownDataCentre) 0.0 else REMOTE_DATA_CENTRE_COST
        return lateRisk + targetShare * DELAY_COST + rereadCost(engine) + engineCost(path) +
            excess * UNRELIABLE_COST + remote
    }

    private val sharedTokens = prompt.sharedParts.sumOf { it.tokens }

    private fun rereadCost(engine: BackendEntry): Double {
        val reread = mostCached - cached.getValue(engine.life)
        val unplaced = if (engine.life == home?.life) 0 else sharedTokens - mostCached
        return reread * REREAD_COST + unplaced.coerceAtLeast(0) * UNPLACED_COST
    }

    private fun engineCost(path: EnginePath): Double =
        when (path) {
            is EnginePath.RemotePrefill -> {
                val gigabytes = prompt.promptTokens * view.properties.tokenBytes / BYTES_PER_GIGABYTE
                REMOTE_PREFILL_COST + gigabytes * TRANSFER_COST
            }

            is EnginePath.LocalPrefill -> {
                val streams = view.load.runningAt(path.engine.life)
                path.work.toDouble(DurationUnit.MILLISECONDS) * INTERFERENCE_COST * (1 + streams)
            }
        }

    companion object {
        /** Assesses the engines of [view] for [prompt], of which each has the tokens in [cached]. */
        fun forPrompt(
            view: EngineView,
            prompt: Prompt,
            target: Duration,
            cached: Map<BackendLife, Int>,
        ): EngineCosts =
            EngineCosts(
                view = view,
                prompt = prompt,
                target = target,
                meanFailureShare =
                    ReliabilityPolicy.meanFailureShare(view.reliability, view.engines.map { it.life }),
                cached = cached,
                mostCached = cached.values.maxOrNull() ?: 0,
                home = homeOf(view, prompt),
            )

        /** Returns the engine that all gateways prefer for prompts with the same shared parts, by rendezvous hashing. */
        private fun homeOf(
            view: EngineView,
            prompt: Prompt,
        ): BackendEntry? {
            val key =
                prompt.sharedParts
                    .maxByOrNull { it.tokens }
                    ?.key ?: return null
            val prefillEngines = view.engines.filter { it.role == EngineRole.PREFILL }
            return prefillEngines.ifEmpty { view.engines }.maxByOrNull { mixed(key, it.life.code) }
        }

        private fun mixed(
            key: Long,
            code: Int,
        ): Long {
            val mixed = (key xor code.toLong()) * HASH_MULTIPLIER
            return (mixed xor (mixed ushr HASH_SHIFT)) * HASH_MULTIPLIER
        }

        private const val ON_TIME_SHARE = 0.4 // prediction errors stay below this share of the target
        private const val LATE_SHARE = 1.3
        private const val DELAY_COST = 0.1
        private const val REREAD_COST = 8e-5 // per token; a prefill that another engine has already done
        private const val UNPLACED_COST = 1e-5 // per token; another gateway may send the same parts elsewhere
        private const val REMOTE_PREFILL_COST = 0.01 // the additional call
        private const val TRANSFER_COST = 0.015 // per gigabyte, which loads the links of both engines
        private const val BYTES_PER_GIGABYTE = 1e9
        private const val INTERFERENCE_COST = 1.2e-4 // per millisecond of prefill and running stream, which it delays
        private const val UNRELIABLE_COST = 1.0
        private const val REMOTE_DATA_CENTRE_COST = 0.003
        private const val HASH_MULTIPLIER = -0x61c8864680b583ebL
        private const val HASH_SHIFT = 32
    }
}
