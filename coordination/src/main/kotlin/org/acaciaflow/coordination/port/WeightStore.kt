package org.acaciaflow.coordination.port

import kotlin.time.Duration

/** The platform's store of model weights, which limits how fast it is read. */
interface WeightStore {
    /** Asks for leave to load the weights of a model version into an engine. */
    suspend fun requestLoad(
        model: String,
        version: String,
    ): WeightLoad
}

/** What the weight store answered. */
sealed interface WeightLoad {
    data class Granted(
        val bytes: Long,
    ) : WeightLoad

    /** The rate limit is reached; ask again after [retryAfter]. */
    data class Limited(
        val retryAfter: Duration,
    ) : WeightLoad

    data object UnknownModel : WeightLoad

    data object Unreachable : WeightLoad
}
