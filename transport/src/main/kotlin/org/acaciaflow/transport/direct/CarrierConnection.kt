package org.acaciaflow.transport.direct

import io.vertx.core.Future
import io.vertx.core.http.HttpClientRequest
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionIsolation

/** The connection that carries [request], with what is known of it in [open]. */
internal class CarrierConnection(
    val request: HttpClientRequest,
    private val open: OpenConnections?,
    private val lateAnswers: LateAnswerFilter?,
    private val heads: MalformedAnswerFilter? = null,
) {
    /** True once the connection has brought a malformed answer, which ended it. */
    val isMalformed: Boolean
        get() = heads?.hasRejected == true

    /** True if late answers were skipped since the request was sent, and its own has not started. */
    val hasSkipped: Boolean
        get() = lateAnswers?.hasSkipped == true

    /** Returns true while the whole answer to [call] is held back. */
    fun isHeld(call: SentCall): Boolean = lateAnswers?.isHeld(call) == true

    /** Returns true if the answer to [call] arrived whole and its server has contradicted it. */
    fun isContradicted(call: SentCall): Boolean = lateAnswers?.isContradicted(call) == true

    /** Closes the connection, on which an answer with [answerIds] came that is not the one to [call]. */
    fun closeAfterForeignAnswer(
        call: SentCall,
        answerIds: List<String>,
    ): Future<Void> {
        if (ConnectionIsolation.isSurplus(call.history, answerIds)) open?.surplusAnswered(call.order.backend.life)
        return close(ConnectionCloseReason.ANSWER_FOREIGN)
    }

    /** Closes the connection for [reason]. */
    fun close(reason: ConnectionCloseReason): Future<Void> {
        val connection = request.connection()
        return open?.close(connection, reason) ?: connection.close()
    }

    /** Closes the connection unless the whole answer to [call] has arrived, after which it may carry another request. */
    fun abandonRequest(call: SentCall) {
        val isOpen = lateAnswers?.isOpen(call) == true
        if (isOpen) open?.closing(request.connection(), ConnectionCloseReason.REQUEST_ABANDONED)
        request.reset()
    }
}
