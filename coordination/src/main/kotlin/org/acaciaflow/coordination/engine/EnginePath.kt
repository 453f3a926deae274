package org.acaciaflow.coordination.engine

import org.acaciaflow.state.fleet.BackendEntry
import kotlin.time.Duration

/** How a generation gets to its first event; [predicted] is the time until then. */
sealed interface EnginePath {
    val predicted: Duration

    /** [decoder] reads the prompt itself, which takes it [work]. */
    data class Straight(
        val decoder: BackendEntry,
        val work: Duration,
        override val predicted: Duration,
    ) : EnginePath

    /** [reader] reads the prompt in [work]; a decoder that is chosen then fetches the KV cache. */
    data class Handover(
        val reader: BackendEntry,
        val work: Duration,
        override val predicted: Duration,
    ) : EnginePath
}
