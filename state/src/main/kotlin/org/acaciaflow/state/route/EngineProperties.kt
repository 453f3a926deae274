package org.acaciaflow.state.route

/**
 * What the configuration tells about the engines of a pool.
 *
 * [cacheTokens] is the memory of one engine, [tokenBytes] the size of one token in it, [linkBitsPerMillisecond] the
 * rate at which KV cache moves between engines.
 */
data class EngineProperties(
    val slots: Int,
    val cacheTokens: Long,
    val tokenBytes: Long,
    val linkBitsPerMillisecond: Double,
)
