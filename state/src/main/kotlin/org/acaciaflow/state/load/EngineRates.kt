package org.acaciaflow.state.load

/**
 * How fast the engines of a pool read prompts, in tokens a millisecond.
 *
 * [prefill] is the rate of engines that only read prompts, [straight] that of engines that read between the tokens
 * of other requests.
 */
data class EngineRates(
    val prefill: Double,
    val straight: Double,
)
