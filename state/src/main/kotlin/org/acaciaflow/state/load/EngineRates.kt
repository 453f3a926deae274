package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap

/**
 * How fast the engines of a pool prefill prompts, in tokens per millisecond.
 *
 * [prefill] applies to engines that only run prefill, [interleaved] to engines that interleave prefill with the decode
 * steps of other requests. [delayFactors] tells, by urgency, by how much prefills on engines that only run prefill take
 * longer than their queue suggests, for example because more urgent prompts overtake them.
 */
data class EngineRates(
    val prefill: Double,
    val interleaved: Double,
    val delayFactors: PersistentMap<Int, Double>,
) {
    /** The factor for requests of [urgency]; 1 until one has been measured. */
    fun delayFactor(urgency: Int): Double = delayFactors[urgency] ?: 1.0
}
