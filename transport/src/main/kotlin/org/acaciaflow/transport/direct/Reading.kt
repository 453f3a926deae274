package org.acaciaflow.transport.direct

import io.netty.handler.codec.http.LastHttpContent
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.SecondAnswerForms
import org.acaciaflow.state.connection.AnswerForm
import kotlin.time.Instant

/** What a connection is read for. */
internal sealed interface Reading {
    /** The head of the answer to [call]; so many answers and bytes were skipped since it was sent. */
    data class Awaiting(
        val call: SentCall,
        val skipped: Int,
        val skippedBytes: Int,
    ) : Reading

    /** The rest of a late answer, after which [since] goes on. */
    data class Skipping(
        val since: Awaiting,
    ) : Reading

    /**
     * The rest of the answer to [call], whose head has [status], [signature] and [form], and is a refusal if [isRefusal].
     *
     * Its connection ends behind it if [announcesClose].
     */
    class Answering(
        val call: SentCall,
        private val status: Int,
        private val isRefusal: Boolean,
        private val signature: String?,
        private val form: AnswerForm,
        val announcesClose: Boolean,
        val body: SmallBody,
    ) : Reading {
        fun ended(now: Instant): AnsweredRequest =
            AnsweredRequest(
                requestId = call.order.requestId,
                life = call.order.backend.life,
                pool = call.order.backend.pool,
                history = call.history,
                status = status,
                isRefusal = isRefusal,
                signature = signature,
                form = form,
                scope = SecondAnswerForms.scopeOf(call.order, call.purpose),
                sentAt = call.sentAt,
                at = now,
                body = body.fingerprint,
            )
    }

    /**
     * A second answer to [call], whose whole answer is [answered]; [end], the end of that answer, is held back.
     *
     * The body has [length] bytes. The connection ends behind the answer if [announcesClose].
     */
    class Holding(
        val call: SentCall,
        val answered: AnsweredRequest,
        val length: Long,
        val end: LastHttpContent,
        val announcesClose: Boolean,
    ) : Reading

    /** The rest of a second answer to the request of [last], after which the connection is closed. */
    class ReadingSecond(
        val last: AnsweredRequest,
        val body: SmallBody,
    ) : Reading

    /** No answer is due; [last] is the one that ended last. */
    data class Nothing(
        val last: AnsweredRequest?,
    ) : Reading
}
