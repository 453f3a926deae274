package org.acaciaflow.coordination.engine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.load.EngineRates
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Estimates the prefill rates of the engines of a pool from measured prefill times. */
object RateEstimator {
    /** Typical rates of large engines in tokens per millisecond, used until the first measurement. */
    val INITIAL = EngineRates(prefill = 80.0, interleaved = 24.0, delayFactors = persistentMapOf())

    /**
     * Adjusts the rate of [pool] for [role] after a prefill on an engine that had no other work.
     *
     * [predicted] and [measured] are the predicted and the actual duration of the prefill.
     */
    fun withSample(
        rates: PersistentMap<PoolName, EngineRates>,
        pool: PoolName,
        role: EngineRole,
        predicted: Duration,
        measured: Duration,
    ): PersistentMap<PoolName, EngineRates> {
        if (predicted.toDouble(DurationUnit.MILLISECONDS) < MINIMUM_SAMPLE_MILLISECONDS) return rates
        val known = rates[pool] ?: INITIAL
        val factor = (predicted / measured).coerceIn(1 / MAXIMUM_SAMPLE_FACTOR, MAXIMUM_SAMPLE_FACTOR)
        val step = 1 + (factor - 1) * SAMPLE_WEIGHT
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

    /**
     * Adjusts the delay factor of [pool] for [urgency] after a prefill that was predicted to take [predicted], including
     * the queue before it, and took [measured].
     */
    fun withDelay(
        rates: PersistentMap<PoolName, EngineRates>,
        pool: PoolName,
        urgency: Int,
        predicted: Duration,
        measured: Duration,
    ): PersistentMap<PoolName, EngineRates> {
        if (predicted.toDouble(DurationUnit.MILLISECONDS) < MINIMUM_SAMPLE_MILLISECONDS) return rates
        val known = rates[pool] ?: INITIAL
        val factor = known.delayFactor(urgency)
        val next = factor + ((measured / predicted).coerceIn(DELAY_FACTORS) - factor) * DELAY_SAMPLE_WEIGHT
        return rates.put(pool, known.copy(delayFactors = known.delayFactors.put(urgency, next)))
    }

    private fun bounded(
        rate: Double,
        initial: Double,
    ): Double = rate.coerceIn(initial / MAXIMUM_DEVIATION_FACTOR, initial * MAXIMUM_DEVIATION_FACTOR)

    private const val MINIMUM_SAMPLE_MILLISECONDS = 20.0 // shorter ones are dominated by batch steps and the network
    private const val SAMPLE_WEIGHT = 0.05
    private const val DELAY_SAMPLE_WEIGHT = 0.15 // follows a burst within a few seconds
    private val DELAY_FACTORS = 0.5..3.0
    private const val MAXIMUM_SAMPLE_FACTOR = 2.0
    private const val MAXIMUM_DEVIATION_FACTOR = 8.0
}
