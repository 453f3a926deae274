package org.acaciaflow.coordination.port

import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun

/** The gateway's direct way to backend servers. */
interface BackendConnections {
    /** Sends a request to run; [AttemptStream.abandon] closes the connection, which ends the work there. */
    suspend fun open(
        order: RunOrder,
        body: CallBody,
    ): AttemptStream

    /** Has the prompt of a request read, without running it. */
    suspend fun prefill(
        order: RunOrder,
        body: CallBody,
    ): PrefillOutcome

    /** Frees KV cache that nobody will fetch. Failures are logged; the engine frees it by itself later. */
    fun release(cache: CacheSource)
}

/** What became of a call that has a prompt read. */
sealed interface PrefillOutcome {
    /** The KV cache of [tokens] tokens can be fetched from [source]. */
    data class Ready(
        val source: CacheSource,
        val tokens: Int,
    ) : PrefillOutcome

    /** The engine did not take the call. */
    data class Refused(
        val reason: AttemptRefusal,
    ) : PrefillOutcome

    data class Broken(
        val reason: MayHaveRun,
    ) : PrefillOutcome
}
