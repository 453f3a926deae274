package org.acaciaflow.coordination.port

import org.acaciaflow.coordination.connection.AnswerContradiction
import org.acaciaflow.coordination.connection.AnswerOwner
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.coordination.relay.TakeUpOutcome
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.coordination.stream.OriginLookup
import org.acaciaflow.coordination.stream.StreamRecordOutcome
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.work.Rank
import kotlin.time.Duration

/** Records metrics and log events. */
interface Observations {
    fun event(event: Event)

    fun accepted(rank: Rank)

    fun delivered(rank: Rank)

    fun refused(refusal: Refusal)

    fun attemptRefused(reason: AttemptRefusal)

    fun retried(reason: RetryReason)

    /** A retry was not made because the retry limit was reached. */
    fun retryDenied(reason: RetryReason)

    /** A caller received its complete answer after [elapsed]. */
    fun answered(
        urgency: Int,
        elapsed: Duration,
    )

    /** A caller took a stream up again, with [outcome]. */
    fun takenUp(outcome: TakeUpOutcome)

    /** A decision about one request was made. */
    fun decided(decision: Decision)

    /** A notice in a backend server's answer could not be read and was ignored. */
    fun noticeUnreadable()

    /** An answer of [owner] arrived on a connection in place of another one, or while no request was in progress. */
    fun foreignAnswer(owner: AnswerOwner)

    /** An answer was held for [time], after which it was passed on or not believed. */
    fun answerHeld(time: Duration)

    /** A success was not believed for [contradiction]. */
    fun answerContradicted(contradiction: AnswerContradiction)

    /** A connection to a backend server ended for [reason]. */
    fun connectionClosed(reason: ConnectionCloseReason)

    /** This process closed a caller's connection before its answer was complete, for [reason]. */
    fun callerConnectionClosed(reason: Refusal)

    /** A connection of a caller failed. */
    fun callerConnectionFailed(reason: CallerConnectionFailure)

    fun storeFailed(reason: StoreFailure)

    /** A frame that belongs to no attempt in progress was dropped. */
    fun strayFrameDropped()

    /** Of [count] records of streams, [outcome] is what became. */
    fun recordsHandled(
        outcome: StreamRecordOutcome,
        count: Int,
    )

    /** The origin of a stream that is taken up was looked up with the result [lookup]. */
    fun originLookedUp(lookup: OriginLookup)
}
