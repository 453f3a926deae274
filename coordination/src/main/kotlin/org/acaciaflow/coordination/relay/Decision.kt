package org.acaciaflow.coordination.relay

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Duration
import kotlin.time.Instant

/** A decision about one request, with what it rested on. */
sealed interface Decision {
    val requestId: String
    val at: Instant

    /** It is sent to [backend]; [load] is what was known of the work there. */
    data class Sent(
        val request: RelayedRequest,
        val backend: BackendEntry,
        val predicted: Duration,
        val load: FleetLoad,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** It is not taken on, since its first event was predicted to take [predicted] by way of [backend]. */
    data class Declined(
        val request: RelayedRequest,
        val backend: BackendEntry,
        val predicted: Duration,
        val reason: Refusal,
        val load: FleetLoad,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** A send has ended. */
    data class Ran(
        val request: RelayedRequest,
        val backend: BackendEntry,
        val outcome: String,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** It was not admitted; [version] is the configuration that was in force. */
    data class Refused(
        override val requestId: String,
        val host: String,
        val path: String,
        val version: Long,
        val reason: Refusal,
        override val at: Instant,
    ) : Decision

    /** It has come to its end. */
    data class Concluded(
        val request: RelayedRequest,
        val conclusion: Conclusion,
        val progress: RelayProgress,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }
}
