package org.acaciaflow.coordination.engine

import org.acaciaflow.state.fleet.BackendEntry
import kotlin.time.Duration

/**
 * Where the prompt of a generation is prefilled.
 *
 * [work] is the predicted duration of the prefill alone, [predicted] the predicted time to the first event.
 */
sealed interface EnginePath {
    /** The engine that prefills the prompt. */
    val prefilledBy: BackendEntry
    val work: Duration
    val predicted: Duration

    /** The predicted time that the prefill is delayed by the jobs known to be at its engine. */
    val waiting: Duration
        get() =
            when (this) {
                is LocalPrefill -> predicted - work
                is RemotePrefill -> queued - work
            }

    /** The decode engine [engine] prefills the prompt itself. */
    data class LocalPrefill(
        val engine: BackendEntry,
        override val work: Duration,
        override val predicted: Duration,
    ) : EnginePath {
        override val prefilledBy: BackendEntry
            get() = engine
    }

    /**
     * [prefillEngine] prefills the prompt; a decode engine chosen afterwards fetches the KV cache.
     *
     * [queued] is the time that the queue and the rate of its engine suggest for the prefill, before the delay factor.
     */
    data class RemotePrefill(
        val prefillEngine: BackendEntry,
        val queued: Duration,
        override val work: Duration,
        override val predicted: Duration,
    ) : EnginePath {
        override val prefilledBy: BackendEntry
            get() = prefillEngine
    }
}
