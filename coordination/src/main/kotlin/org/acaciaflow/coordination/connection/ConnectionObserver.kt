package org.acaciaflow.coordination.connection

import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.IsolationOrigin
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Instant

/** Records which connection carries which request, the answers on it that belong to no request, and its end. */
class ConnectionObserver(
    private val observations: Observations,
) {
    /** [order] is sent at [now] on a connection that has carried [history] before. */
    fun sending(
        order: RunOrder,
        purpose: CallPurpose,
        history: ConnectionHistory,
        now: Instant,
    ) = observations.decided(Decision.Connected(order.requestId, order.backend, purpose, history, now))

    /** The connection with [history] to [life] ended at [now]; the last request that it carried is [lastRequestId]. */
    fun closed(
        life: BackendLife,
        history: ConnectionHistory,
        lastRequestId: String,
        reason: ConnectionCloseReason,
        now: Instant,
    ) {
        observations.connectionClosed(reason)
        observations.decided(Decision.Disconnected(lastRequestId, life, history, reason, now))
    }

    /** [answer] arrived at [now] in place of the answer to [order], which is given up. */
    fun foreignAnswer(
        order: RunOrder,
        history: ConnectionHistory,
        answer: SurplusAnswer,
        now: Instant,
    ) {
        val owner = AnswerOwner.of(history, answer.requestIds)
        record(order, history, answer, owner, now, isSkipped = false)
        reportServer(order, history, owner)
    }

    /** [answer] arrived at [now] before the answer to [order], and was skipped. */
    fun skipped(
        order: RunOrder,
        history: ConnectionHistory,
        answer: SurplusAnswer,
        now: Instant,
        isFirst: Boolean,
    ) {
        val owner = AnswerOwner.of(history, answer.requestIds)
        record(order, history, answer, owner, now, isSkipped = true)
        if (isFirst) reportServer(order, history, owner)
    }

    /**
     * [answer] arrived at [now], when no request was in progress and [last] had been answered.
     *
     * [isFirst] is false while its server is isolated already.
     */
    fun unrequested(
        answer: SurplusAnswer,
        last: AnsweredRequest,
        now: Instant,
        isFirst: Boolean,
    ) {
        val owner = AnswerOwner.of(last, answer.requestIds)
        observations.foreignAnswer(owner)
        observations.decided(Decision.UnrequestedAnswer(last, owner, answer, now))
        if (!isFirst) return
        observations.event(
            Event.BackendAnswerUnrequested(
                life = last.life,
                status = answer.status,
                requestId = answer.shownIds,
                lastStatus = last.status,
                lastRequestId = last.requestId,
                lastTook = last.took,
                after = now - last.at,
                signature = answer.signature,
                lastSignature = last.signature,
                form = answer.form,
                lastForm = last.form,
                connection = last.history.number,
            ),
        )
    }

    /** The hold of the answer [answered] ended at [now]. */
    fun holdEnded(
        answered: AnsweredRequest,
        now: Instant,
    ) = observations.answerHeld(now - answered.at)

    /**
     * The success [answered] is not believed for [contradiction], found at [now] by [second] if that isn't null.
     *
     * [isFirst] is false if its server was reported for it and has been isolated since.
     */
    fun contradicted(
        answered: AnsweredRequest,
        second: SurplusAnswer?,
        contradiction: AnswerContradiction,
        now: Instant,
        isFirst: Boolean,
    ) {
        observations.answerContradicted(contradiction)
        observations.decided(Decision.ContradictedAnswer(answered, second, contradiction, now))
        if (!isFirst) return
        observations.event(
            Event.BackendAnswerContradicted(
                life = answered.life,
                requestId = answered.requestId,
                contradiction = contradiction,
                status = answered.status,
                secondStatus = second?.status,
                took = answered.took,
                after = now - answered.at,
                signature = answered.signature,
                secondSignature = second?.signature,
                form = answered.form,
                secondForm = second?.form,
                connection = answered.history.number,
            ),
        )
    }

    /** The log gets a line on [success], passed on at [now]; [leftOut] lines were left out before it. */
    fun passedOn(
        success: PlainSuccess,
        leftOut: Int,
        now: Instant,
    ) = observations.decided(Decision.PassedOn(success, leftOut, now))

    /** The server [life] is isolated until [duration] after its last surplus answer, the first of which has arrived. */
    fun isolated(
        life: BackendLife,
        duration: Duration,
    ) = observations.event(Event.BackendIsolated(life, duration, IsolationOrigin.Connection))

    private fun record(
        order: RunOrder,
        history: ConnectionHistory,
        answer: SurplusAnswer,
        owner: AnswerOwner,
        now: Instant,
        isSkipped: Boolean,
    ) {
        observations.foreignAnswer(owner)
        observations.decided(
            Decision.ForeignAnswer(order.requestId, order.backend, history, owner, answer, isSkipped, now),
        )
    }

    private fun reportServer(
        order: RunOrder,
        history: ConnectionHistory,
        owner: AnswerOwner,
    ) = observations.event(Event.BackendAnswerForeign(order.backend.life, history.number, order.requestId, owner))
}
