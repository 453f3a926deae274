package org.acaciaflow.coordination.engine

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.load.EngineRates
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Learns how fast the engines of a pool read prompts. */
object RateLearning {
    /** Typical rates of large engines, used until the first measurement. */
    val INITIAL = EngineRates(prefill = 80.0, interleaved = 24.0)

    /** The rates of [pool] after [predicted] work took [measured] at an engine of [role] that had nothing else to do. */
    fun measured(
        rates: PersistentMap<PoolName, EngineRates>,
        pool: PoolName,
        role: EngineRole,
        predicted: Duration,
        measured: Duration,
    ): PersistentMap<PoolName, EngineRates> {
        if (predicted.toDouble(DurationUnit.MILLISECONDS) < SHORTEST_SAMPLE_MILLISECONDS) return rates
        val known = rates[pool] ?: INITIAL
        val factor = (predicted / measured).coerceIn(1 / LARGEST_FACTOR, LARGEST_FACTOR)
        val step = 1 + (factor - 1) * NEWEST_WEIGHT
        val next =
            when (role) {
                EngineRole.PREFILL -> known.copy(prefill = bounded(known.prefill * step, INITIAL.prefill))
                EngineRole.DECODE, EngineRole.MIXED ->
                    known.copy(
                        interleaved = bounded(known.interleaved * step, INITIAL.interleaved),
                    )
            }
        return rates.put(pool, next)
    }

    private fun bounded(
        rate: Double,
        initial: Double,
    ): Double = rate.coerceIn(initial / LARGEST_CHANGE, initial * LARGEST_CHANGE)

    private const val SHORTEST_SAMPLE_MILLISECONDS = 20.0 // shorter reads are hidden by steps and network
    private const val NEWEST_WEIGHT = 0.05
    private const val LARGEST_FACTOR = 2.0
    private const val LARGEST_CHANGE = 8.0
}
