package org.acaciaflow.coordination.port

import kotlin.time.Duration

/** The platform's store of model weights, which limits the rate of reads. */
interface WeightStore {
    /** Requests permission to load the weights of a model version into an engine. */
    suspend fun requestLoad(
        model: String,
        version: String,
    ): WeightLoad
}

/** Answer of the weight store to a load request. */
sealed interface WeightLoad {
    data class Granted(
        val bytes: Long,
    ) : WeightLoad

    /** The rate limit is reached; retry after [retryAfter]. */
    data class Limited(
        val retryAfter: Duration,
    ) : WeightLoad

    data object UnknownModel : WeightLoad

    data object Unreachable : WeightLoad
}
