package org.acaciaflow.transport.direct

import io.vertx.core.Future
import io.vertx.core.http.HttpClientRequest
import org.acaciaflow.coordination.connection.ConnectionCloseReason

/** The connection that carries [request], with what is known of it in [open]. */
internal class CarrierConnection(
    val request: HttpClientRequest,
    private val open: OpenConnections?,
    private val lateAnswers: LateAnswerFilter?,
) {
    /** True if late answers were skipped since the request was sent, and its own has not started. */
    val hasSkipped: Boolean
        get() = lateAnswers?.hasSkipped == true

    /** Closes the connection, which has brought an answer of another request. */
    fun closeAfterForeignAnswer(): Future<Void> {
        val connection = request.connection()
        return open?.close(connection, ConnectionCloseReason.ANSWER_FOREIGN) ?: connection.close()
    }

    /** Closes the connection unless the whole answer has arrived. */
    fun abandonRequest() {
        open?.closing(request.connection(), ConnectionCloseReason.REQUEST_ABANDONED)
        request.reset()
    }
}
