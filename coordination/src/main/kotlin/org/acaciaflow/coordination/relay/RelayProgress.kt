package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.coordination.stream.VersionConstraint
import org.acaciaflow.state.connection.AnswerOrigin
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.time.Instant

/**
 * The progress of a request.
 *
 * [reached] holds the backend servers that received the request (prefills aside), [excluded] those that it must not be
 * sent to again. [countedAttempts] is the number of attempts subject to the retry limit; refused connections and
 * successful prefills are not counted. [prefillCalls] is the number of prefill attempts. [attemptsInFlight] is the number of
 * attempts in progress other than prefills. [mayHaveRun] is set once a backend server may have started to
 * execute the request. [begunAt] is when the first part of the answer was sent to the caller, [origin] where the head
 * that the caller got comes from, and [lastEvent] the identity of the last event sent to it. [resumable] is false once
 * a part was sent after which no server can be asked to continue: a part of a plain answer, or an event without an
 * identity. [versions] restricts the servers as soon as the caller has events.
 */
data class RelayProgress(
    val reached: PersistentSet<BackendLife>,
    val excluded: PersistentSet<BackendLife>,
    val countedAttempts: Int,
    val prefillCalls: Int,
    val attemptsInFlight: Int,
    val mayHaveRun: MayHaveRun?,
    val begunAt: Instant?,
    val origin: AnswerOrigin?,
    val lastEvent: String?,
    val resumable: Boolean,
    val versions: VersionConstraint,
) {
    val begun: Boolean
        get() = begunAt != null

    /** True unless the caller has a part of an answer that no other server can continue. */
    val mayGoOnElsewhere: Boolean
        get() = !begun || resumable

    /** True until anything was sent to a server. */
    val untried: Boolean
        get() = copy(versions = VersionConstraint.Any) == INITIAL

    /** This progress after an attempt at [life] that reached it, and after which it must not be sent to again. */
    fun withReached(life: BackendLife): RelayProgress =
        copy(
            reached = reached.add(life),
            excluded = excluded.add(life),
            countedAttempts = if (life in excluded) countedAttempts else countedAttempts + 1,
        )

    /** This progress after an attempt at [life] that was cancelled for no fault of the server; it may be sent to again. */
    fun withCancelled(life: BackendLife): RelayProgress =
        copy(
            reached = reached.add(life),
            countedAttempts = countedAttempts + 1,
            attemptsInFlight = attemptsInFlight - 1,
            mayHaveRun = mayHaveRun ?: MayHaveRun.ANSWER_INCOMPLETE,
        )

    /** This progress after an attempt at [life] that ended in an exception of this process. */
    fun withFault(life: BackendLife): RelayProgress =
        withReached(life).copy(
            attemptsInFlight = attemptsInFlight - 1,
            mayHaveRun = mayHaveRun ?: MayHaveRun.GATEWAY_FAULT,
        )

    companion object {
        val INITIAL =
            RelayProgress(
                reached = persistentSetOf(),
                excluded = persistentSetOf(),
                countedAttempts = 0,
                prefillCalls = 0,
                attemptsInFlight = 0,
                mayHaveRun = null,
                begunAt = null,
                origin = null,
                lastEvent = null,
                resumable = true,
                versions = VersionConstraint.Any,
            )
    }
}

/** Tracks the progress of one request, so that it is available when a timeout cancels the work. */
internal class RelayProgressTracker {
    @Volatile
    var progress: RelayProgress = RelayProgress.INITIAL
        private set

    /** A server's own failure that the caller gets if no other server answers. */
    @Volatile
    var failure: RunOutcome.Failed? = null
        private set

    /** Keeps [failed] unless it is large. */
    fun keepFailure(failed: RunOutcome.Failed) {
        if (failed.answer.body.size <= LARGEST_FAILURE_BYTES) failure = failed
    }

    /** Replaces the progress; attempts that hedge each other may do so at the same time. */
    @Synchronized
    fun update(change: (RelayProgress) -> RelayProgress) {
        progress = change(progress)
    }

    private companion object {
        const val LARGEST_FAILURE_BYTES = 64 * 1024
    }
}
