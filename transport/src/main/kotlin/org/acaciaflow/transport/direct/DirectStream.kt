package org.acaciaflow.transport.direct

import io.vertx.core.Future
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.protocol.dialect.AnswerVerdict
import org.acaciaflow.protocol.http.HopByHopHeaders
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.http.BodyChannel
import org.acaciaflow.transport.http.BoundedBody
import org.acaciaflow.transport.http.RequestWriting
import org.acaciaflow.transport.http.awaitResult
import org.acaciaflow.transport.http.readWhole
import org.acaciaflow.transport.http.toBuffer
import org.acaciaflow.transport.http.toFields
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reads the answer to a request that was sent to a backend server. */
internal class DirectStream(
    private val call: SentCall,
    private val answers: AnswerReader,
    private val carrier: CarrierConnection,
    private val writing: RequestWriting,
    private val clock: Clock,
) : AttemptStream {
    private val opened = carrier.request.response().map(::openAnswer)
    private var body: BodyChannel? = null

    @Volatile
    private var complete = false

    override val isHeld: Boolean
        get() = carrier.isHeld(call)

    override suspend fun next(): AttemptEvent {
        val channel = body ?: return head()
        return when (val part = channel.next()) {
            is BodyPart.Data -> {
                AttemptEvent.Data(part.bytes)
            }

            BodyPart.End -> {
                complete = true
                AttemptEvent.End
            }

            BodyPart.Broken -> {
                AttemptEvent.Broken(reasonOfBreak())
            }
        }
    }

    /** Reads the rest of the answer into memory unless it exceeds [limit] bytes; requires that its head was read. */
    suspend fun readWhole(limit: Int): BoundedBody {
        val channel = checkNotNull(body) { "the answer head must be read before its body" }
        return channel.readWhole(limit).also { complete = it is BoundedBody.Whole }
    }

    /**
     * Resets the request unless its answer is complete, so that the pool can't reuse the connection with unread data.
     *
     * A reset leaves the connection open if the whole answer has arrived; unread, it would keep the connection paused.
     */
    override fun cancel() {
        if (complete) return
        carrier.abandonRequest(call)
        opened.onSuccess { it.body.letArrive() }
    }

    /**
     * Classifies an answer at the time its head arrives.
     *
     * A reset does nothing once Vert.x has read a whole answer, since the pool may have passed the connection on. After
     * a foreign answer the connection is closed all the same, because no later request on it would get its own.
     */
    private fun openAnswer(response: HttpClientResponse): OpenedAnswer {
        val channel = writing.bodyOf(response)
        val head = AnswerHead(response.statusCode(), HopByHopHeaders.strip(response.headers().toFields()))
        val verdict = answers.read(call, head, clock.now())
        return OpenedAnswer(head, verdict, channel, closed = closeUnlessUsable(verdict, head))
    }

    /** Closes the connection after an answer that can't be the one to this request. */
    private fun closeUnlessUsable(
        verdict: AnswerVerdict,
        head: AnswerHead,
    ): Future<Void>? =
        when (verdict) {
            AnswerVerdict.OfOtherRequest -> carrier.closeAfterForeignAnswer(call, answers.idsOf(head))
            AnswerVerdict.Unsigned -> carrier.close(ConnectionCloseReason.ANSWER_UNSIGNED)
            AnswerVerdict.NoStream -> carrier.close(ConnectionCloseReason.ANSWER_NO_STREAM)
            AnswerVerdict.Genuine, is AnswerVerdict.NotExecuted -> null
        }

    private suspend fun head(): AttemptEvent {
        val opening = opened.awaitResult()
        if (opening.failed()) return AttemptEvent.Broken(reasonOfFailure())
        val answer = opening.result()
        body = answer.body
        answer.closed?.awaitResult() // so that a retry can't get the connection from the pool
        val event =
            eventFor(answer.verdict) ?: return AttemptEvent.Head(answer.head, answers.originOf(call, answer.head))
        if (event !is AttemptEvent.Refused) return event
        drain(answer.body)
        return if (carrier.isContradicted(call)) AttemptEvent.Broken(MayHaveRun.ANSWER_CONTRADICTED) else event
    }

    private fun reasonOfBreak(): MayHaveRun =
        when {
            carrier.isContradicted(call) -> MayHaveRun.ANSWER_CONTRADICTED
            carrier.isMalformed -> MayHaveRun.ANSWER_MALFORMED
            writing.hasCutAnswer -> MayHaveRun.ANSWER_INCOMPLETE
            else -> MayHaveRun.BACKEND_CRASHED
        }

    /** A connection that brought late or malformed answers and then broke off is no sign of a crash. */
    private fun reasonOfFailure(): MayHaveRun =
        when {
            carrier.isContradicted(call) -> MayHaveRun.ANSWER_CONTRADICTED
            carrier.isMalformed -> MayHaveRun.ANSWER_MALFORMED
            carrier.hasSkipped -> MayHaveRun.ANSWER_OF_OTHER_REQUEST
            else -> MayHaveRun.BACKEND_CRASHED
        }

    /**
     * Drains the body of a refusal if it is short and comes at once, so that the connection can be reused.
     *
     * Waits on while the end of the refusal is held back.
     */
    private suspend fun drain(channel: BodyChannel) =
        coroutineScope {
            val reading = async { channel.readWhole(REFUSAL_BODY_BYTES) }
            val prompt = withTimeoutOrNull(REFUSAL_BODY_TIMEOUT) { reading.await() }
            val body = if (prompt == null && carrier.isHeld(call)) reading.await() else prompt
            reading.cancel()
            complete = body is BoundedBody.Whole
        }

    /** An answer whose head has arrived; [closed] is the close of its connection if it is of another request. */
    private class OpenedAnswer(
        val head: AnswerHead,
        val verdict: AnswerVerdict,
        val body: BodyChannel,
        val closed: Future<Void>?,
    )

    private companion object {
        const val REFUSAL_BODY_BYTES = 16 * 1024
        val REFUSAL_BODY_TIMEOUT: Duration = 100.milliseconds // the request waits for another backend server meanwhile
    }
}

/**
 * Sends the whole request, and returns the stream that reads its answer.
 *
 * The stream is created first: an answer that arrives before it is lost, or loses its body.
 */
internal fun sendAttempt(
    call: SentCall,
    answers: AnswerReader,
    carrier: CarrierConnection,
    head: CallHead,
    body: WholeBody,
    clock: Clock,
): DirectStream {
    val writing = RequestWriting()
    val stream = DirectStream(call, answers, carrier, writing, clock)
    val request = carrier.request
    head.headers.filterNot { it.name.equals("content-length", ignoreCase = true) }.forEach {
        request.headers().add(it.name, it.value)
    }
    writing.ending(if (body.bytes.size > 0) request.end(body.bytes.toBuffer()) else request.end())
    return stream
}
