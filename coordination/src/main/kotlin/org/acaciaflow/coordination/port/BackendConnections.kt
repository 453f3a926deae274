package org.acaciaflow.coordination.port

import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun

/** The gateway's direct connections to backend servers. */
interface BackendConnections {
    /** Sends a request to run; [AttemptStream.cancel] closes the connection, which cancels the work. */
    suspend fun open(
        order: RunOrder,
        body: WholeBody,
    ): AttemptStream

    /** Runs the prefill of a request without decoding. */
    suspend fun prefill(
        order: RunOrder,
        body: WholeBody,
    ): PrefillOutcome

    /** Releases KV cache that will not be fetched. On a failure the engine releases it itself later. */
    fun release(cache: CacheSource)
}

/** Outcome of a prefill. */
sealed interface PrefillOutcome {
    /** The KV cache of [tokens] tokens can be fetched from [source]. */
    data class Ready(
        val source: CacheSource,
        val tokens: Int,
    ) : PrefillOutcome

    /** The engine refused the call. */
    data class Refused(
        val reason: AttemptRefusal,
    ) : PrefillOutcome

    data class Broken(
        val reason: MayHaveRun,
    ) : PrefillOutcome
}
