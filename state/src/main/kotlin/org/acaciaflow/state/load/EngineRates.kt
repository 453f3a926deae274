package org.acaciaflow.state.load

/**
 * Prefill rates of the engines of a pool, in tokens per millisecond.
 *
 * [prefill] applies to engines that only run prefill, [interleaved] to engines that interleave prefill with the decode
 * steps of other requests.
 */
data class EngineRates(
    val prefill: Double,
    val interleaved: Double,
)
