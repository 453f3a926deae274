package org.acaciaflow.transport.direct

import io.vertx.core.VertxException
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.kotlin.coroutines.coAwait
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.protocol.dialect.CallPurpose
import org.acaciaflow.protocol.http.HopByHopHeaders
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.transport.http.BodyChannel
import org.acaciaflow.transport.http.toFields
import java.io.IOException

/** Reads the answer to a request that was sent to a backend server. */
internal class DirectStream(
    private val order: RunOrder,
    private val purpose: CallPurpose,
    private val dialect: BackendDialect,
    private val request: HttpClientRequest,
) : AttemptStream {
    private val opened = request.response().map { response -> OpenedAnswer(response, BodyChannel(response.pause())) }
    private var body: BodyChannel? = null

    @Volatile
    private var complete = false

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
                AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)
            }
        }
    }

    /** Closes the connection unless the answer is complete, so that the pool can't reuse it with unread data. */
    override fun cancel() {
        if (!complete) request.reset()
    }

    private suspend fun head(): AttemptEvent {
        val answer =
            try {
                opened.coAwait()
            } catch (_: IOException) {
                return AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)
            } catch (_: VertxException) {
                return AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)
            }
        body = answer.body
        val fields = answer.response.headers().toFields()
        val head = AnswerHead(answer.response.statusCode(), HopByHopHeaders.strip(fields))
        val event = eventFor(dialect.classifyAnswer(order, purpose, head)) ?: return AttemptEvent.Head(head)
        if (event is AttemptEvent.Refused) drain(answer.body)
        return event
    }

    /** Drains the short body of a refusal, so that the connection can be reused. */
    private suspend fun drain(channel: BodyChannel) {
        while (true) {
            when (channel.next()) {
                is BodyPart.Data -> Unit
                BodyPart.End -> return Unit.also { complete = true }
                BodyPart.Broken -> return
            }
        }
    }

    private class OpenedAnswer(
        val response: HttpClientResponse,
        val body: BodyChannel,
    )
}
