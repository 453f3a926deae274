package org.acaciaflow.coordination.engine

import org.acaciaflow.state.fleet.BackendEntry
import kotlin.time.Duration

/** Where the prompt of a generation is prefilled; [predicted] is the predicted time to the first event. */
sealed interface EnginePath {
    val predicted: Duration

    /** The decode engine [engine] prefills the prompt itself in [work]. */
    data class LocalPrefill(
        val engine: BackendEntry,
        val work: Duration,
        override val predicted: Duration,
    ) : EnginePath

    /** [prefillEngine] prefills the prompt in [work]; a decode engine chosen afterwards fetches the KV cache. */
    data class RemotePrefill(
        val prefillEngine: BackendEntry,
        val work: Duration,
        override val predicted: Duration,
    ) : EnginePath
}
