package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import java.util.concurrent.atomic.AtomicReference

/** What the backend servers of a run have received and written, by their own account. */
internal class Account {
    private val entries = AtomicReference(AccountEntries())

    /** Returns all that was recorded so far. */
    fun snapshot(): AccountEntries = entries.get()

    /** Records that [arrival] was read from its connection. */
    fun arrived(arrival: ServerArrival) {
        entries.updateAndGet { it.copy(arrivals = it.arrivals.add(arrival)) }
    }

    /** Records what the server is going to do with the arrival with [stamp]. */
    fun planned(
        stamp: String,
        plan: ArrivalPlan,
    ) {
        entries.updateAndGet { it.copy(plans = it.plans.put(stamp, plan)) }
    }

    /** Records how the server ended its work on the arrival with [stamp]; a later outcome replaces an earlier one. */
    fun ended(
        stamp: String,
        outcome: ServerOutcome,
    ) {
        entries.updateAndGet { it.copy(outcomes = it.outcomes.put(stamp, outcome)) }
    }

    /** Records bytes that were written to a connection, true and false answers alike. */
    fun wrote(writing: ServerWriting) {
        entries.updateAndGet { it.copy(writings = it.writings.add(writing)) }
    }
}

/** The entries of an [Account]; [outcomes] and [plans] are by stamp. */
internal data class AccountEntries(
    val arrivals: PersistentList<ServerArrival> = persistentListOf(),
    val outcomes: PersistentMap<String, ServerOutcome> = persistentMapOf(),
    val writings: PersistentList<ServerWriting> = persistentListOf(),
    val plans: PersistentMap<String, ArrivalPlan> = persistentMapOf(),
)

/**
 * A request that was read from a connection of a server.
 *
 * [connection] is unique in a run. [stamp] is unique to the arrival and goes into the signature of its true answer.
 * [resumeAfter] is the event after which a stream was to go on. [bodyIsWhole] is false if the connection ended inside
 * the body; such a request is not run and has no outcome, unless it was answered early. [handleOf] is the id of the
 * request whose prefill made the handle that this run has taken. Times are milliseconds since the start of the run.
 */
internal data class ServerArrival(
    val instance: String,
    val connection: Long,
    val stamp: String,
    val requestId: String,
    val purpose: ArrivalPurpose,
    val method: String,
    val target: String,
    val body: String,
    val resumeAfter: String?,
    val atMilliseconds: Long,
    val bodyIsWhole: Boolean = true,
    val handleOf: String? = null,
)

/** What a gateway wants of a server. */
internal enum class ArrivalPurpose {
    RUN,
    PREFILL,
}

/** How a server ended its work on an arrival. */
internal sealed interface ServerOutcome {
    /** The server has not run the request and says so with [status]. */
    data class Rejected(
        val status: Int,
    ) : ServerOutcome

    /**
     * The server has run the request, and its true answer has [status] and the whole body [body].
     *
     * [wroteWhole] is false if the answer was lost, cut short or never written; it is also false while it is being
     * written. True says that the connection took all bytes, not that the other end has read them.
     */
    data class Answered(
        val status: Int,
        val body: String,
        val wroteWhole: Boolean,
    ) : ServerOutcome
}

/**
 * Bytes that a server wrote, in the order in which each connection got them.
 *
 * [kind] says what they are; [requestId], [stamp] and [status] are what their head claims, if they have one. They are
 * recorded when their first piece is written. A true answer may have been cut short: its outcome says so.
 */
internal data class ServerWriting(
    val instance: String,
    val connection: Long,
    val kind: WritingKind,
    val requestId: String?,
    val stamp: String?,
    val status: Int?,
    val atMilliseconds: Long,
)

/** What a server's bytes are. */
internal enum class WritingKind {
    TRUE_ANSWER,

    /** An answer beside the true one. */
    SECOND_ANSWER,

    /** An answer with a status of the 1xx range, before the true one. */
    INTERIM_ANSWER,

    /** Bytes that are no answer. */
    NONSENSE,
}
