package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.connection.AnswerContradiction
import org.acaciaflow.coordination.connection.AnswerOwner
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.PlainSuccess
import org.acaciaflow.coordination.connection.SurplusAnswer
import org.acaciaflow.coordination.engine.EnginePath
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.stream.StreamOrigin
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.limit.ServerLimit
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Duration
import kotlin.time.Instant

/** A decision about one request, with the information it was based on. */
sealed interface Decision {
    val requestId: String
    val at: Instant

    /**
     * The request is sent to [backend]; [load] is what this gateway knows of the load at that time.
     *
     * [setAside] isolated servers were left out of the selection; 0 for engines.
     */
    data class Sent(
        val request: RelayedRequest,
        val backend: BackendEntry,
        val predicted: Duration,
        val setAside: Int,
        val load: FleetLoad,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** The request is refused at arrival, although [path] was the best way to serve it. */
    data class Declined(
        val request: RelayedRequest,
        val path: EnginePath,
        val reason: Refusal,
        val load: FleetLoad,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** The request is sent to [backend] for [purpose] on a connection that has carried [history] before. */
    data class Connected(
        override val requestId: String,
        val backend: BackendEntry,
        val purpose: CallPurpose,
        val history: ConnectionHistory,
        override val at: Instant,
    ) : Decision

    /** The connection to [life] that carried [history] was closed for [reason]; [requestId] is the last that it carried. */
    data class Disconnected(
        override val requestId: String,
        val life: BackendLife,
        val history: ConnectionHistory,
        val reason: ConnectionCloseReason,
        override val at: Instant,
    ) : Decision

    /**
     * The connection of a request brought [answer], which belongs to [owner], in place of its own.
     *
     * The request is given up unless the answer was [skipped].
     */
    data class ForeignAnswer(
        override val requestId: String,
        val backend: BackendEntry,
        val history: ConnectionHistory,
        val owner: AnswerOwner,
        val answer: SurplusAnswer,
        val skipped: Boolean,
        override val at: Instant,
    ) : Decision

    /** A connection on which no request was in progress brought [answer], which belongs to [owner], after [last]. */
    data class UnrequestedAnswer(
        val last: AnsweredRequest,
        val owner: AnswerOwner,
        val answer: SurplusAnswer,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = last.requestId
    }

    /**
     * The success [answered] is not believed for [contradiction], found at [at].
     *
     * [second] is the answer that contradicted it; null if it stood alone.
     */
    data class ContradictedAnswer(
        val answered: AnsweredRequest,
        val second: SurplusAnswer?,
        val contradiction: AnswerContradiction,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = answered.requestId
    }

    /** [success] was passed on while its pool is in trouble; [leftOut] lines of this kind were left out before this one. */
    data class PassedOn(
        val success: PlainSuccess,
        val leftOut: Int,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = success.answered.requestId
    }

    /** An attempt at [backend] ended with [outcome]. */
    data class Ran(
        val request: RelayedRequest,
        val backend: BackendEntry,
        val outcome: String,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** The attempt at [backend] exceeds the limit [stall], so that other servers are tried beside it. */
    data class Stalled(
        val request: RelayedRequest,
        val backend: BackendEntry,
        val stall: Stall,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** The stream that [request] takes up began at [origin], as far as that could be proved. */
    data class OriginLookedUp(
        val request: RelayedRequest,
        val origin: StreamOrigin,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** The limit of [life], which is [limit], holds the request back, and no other server takes it. */
    data class HeldBack(
        val request: RelayedRequest,
        val life: BackendLife,
        val limit: ServerLimit?,
        override val at: Instant,
    ) : Decision {
        override val requestId: String
            get() = request.facts.requestId
    }

    /** The call was not admitted; [version] is the configuration version in effect. */
    data class Refused(
        override val requestId: String,
        val host: String,
        val path: String,
        val version: Long,
        val reason: Refusal,
        override val at: Instant,
    ) : Decision

    /** The request is finished. */
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
