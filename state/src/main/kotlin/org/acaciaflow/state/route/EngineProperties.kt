package org.acaciaflow.state.route

/**
 * Configured properties of the engines of a pool.
 *
 * [slots] is the number of requests that one engine runs at once, [cacheTokens] the capacity of its KV cache,
 * [tokenBytes] the size of one token in that cache and [linkBitsPerMillisecond] the bandwidth for transferring KV
 * cache between engines.
 */
data class EngineProperties(
    val slots: Int,
    val cacheTokens: Long,
    val tokenBytes: Long,
    val linkBitsPerMillisecond: Double,
)
