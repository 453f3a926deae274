package org.acaciaflow.coordination.connection

import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.state.connection.ConnectionHistory
import kotlin.time.Instant

/** Records which connection carries which request, and the answers on it that belong to other requests. */
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

    /** A kept connection is closed for [reason] instead of carrying a request. */
    fun closed(reason: ConnectionCloseReason) = observations.connectionClosed(reason)

    /** An answer with the ids [answerIds] arrived at [now] in place of the answer to [order], which is given up. */
    fun foreignAnswer(
        order: RunOrder,
        history: ConnectionHistory,
        answerIds: List<String>,
        now: Instant,
    ) {
        record(order, history, answerIds, now, isSkipped = false)
        reportServer(order, history, answerIds)
    }

    /** An answer with the ids [answerIds] arrived at [now] before the answer to [order], and was skipped. */
    fun skipped(
        order: RunOrder,
        history: ConnectionHistory,
        answerIds: List<String>,
        now: Instant,
        isFirst: Boolean,
    ) {
        record(order, history, answerIds, now, isSkipped = true)
        if (isFirst) reportServer(order, history, answerIds)
    }

    private fun record(
        order: RunOrder,
        history: ConnectionHistory,
        answerIds: List<String>,
        now: Instant,
        isSkipped: Boolean,
    ) {
        val owner = AnswerOwner.of(history, answerIds)
        val shownIds = answerIds.joinToString(limit = SHOWN_IDS) { it.take(SHOWN_CHARACTERS) }
        observations.foreignAnswer(owner)
        observations.decided(
            Decision.ForeignAnswer(order.requestId, order.backend, history, owner, shownIds, isSkipped, now),
        )
    }

    private fun reportServer(
        order: RunOrder,
        history: ConnectionHistory,
        answerIds: List<String>,
    ) {
        val owner = AnswerOwner.of(history, answerIds)
        observations.event(Event.BackendAnswerForeign(order.backend.life, history.number, order.requestId, owner))
    }

    private companion object {
        const val SHOWN_IDS = 2
        const val SHOWN_CHARACTERS = 40
    }
}
