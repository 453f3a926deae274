package org.acaciaflow.transport.direct

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.connection.AnswerScreening
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.ScreeningDecision
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField
import kotlin.time.Clock

/**
 * Skips late answers to earlier requests of a connection, so that the answer behind them is read.
 *
 * Vert.x takes the first answer that arrives for the one to the request in progress, so they are skipped before it.
 */
internal class LateAnswerFilter private constructor(
    private val dialect: BackendDialect,
    private val observer: ConnectionObserver,
    private val clock: Clock,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var reading: Reading = Reading.Other
    private var reported = false

    /** Screens the answers that arrive from now on until the answer to [call] begins. */
    fun expect(call: SentCall) {
        reading = Reading.Awaiting(call, skipped = 0, skippedBytes = 0)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        when (val current = reading) {
            is Reading.Awaiting ->
                if (message is HttpResponse) {
                    begin(
                        context,
                        current,
                        message,
                    )
                } else {
                    pass(context, message)
                }
            is Reading.Skipping -> skip(context, current.since, message)
            Reading.Other -> pass(context, message)
        }
    }

    private fun begin(
        context: ChannelHandlerContext,
        awaiting: Reading.Awaiting,
        response: HttpResponse,
    ) {
        val call = awaiting.call
        val answerIds = dialect.answerIds(headOf(response))
        val requestId = call.order.requestId
        when (AnswerScreening.decide(call.history, requestId, answerIds, awaiting.skipped)) {
            ScreeningDecision.Pass -> {
                reading = Reading.Other
                pass(context, response)
            }

            ScreeningDecision.Skip -> {
                observer.skipped(call.order, call.history, answerIds, clock.now(), isFirst = !reported)
                reported = true
                skip(context, awaiting.copy(skipped = awaiting.skipped + 1), response)
            }
        }
    }

    /** Discards a part of a late answer; closes the connection if the answer is malformed or too large. */
    private fun skip(
        context: ChannelHandlerContext,
        since: Reading.Awaiting,
        message: Any,
    ) {
        val size = if (message is HttpContent) message.content().readableBytes() else 0
        val skipping = since.copy(skippedBytes = since.skippedBytes + size)
        val isMalformed = message !is HttpObject || message.decoderResult().isFailure
        reading = if (message is LastHttpContent) skipping else Reading.Skipping(skipping)
        ReferenceCountUtil.release(message)
        if (isMalformed || skipping.skippedBytes > MAXIMUM_SKIPPED_BYTES) context.close()
    }

    private fun pass(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        context.fireChannelRead(message)
    }

    private fun headOf(response: HttpResponse): AnswerHead =
        AnswerHead(
            response.status().code(),
            response.headers().map { HeaderField(it.key, it.value) }.toPersistentList(),
        )

    /** What the connection is read for. */
    private sealed interface Reading {
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

        /** An answer whose head was passed on, or nothing. */
        data object Other : Reading
    }

    companion object {
        /** Returns the filter of [connection], which is added when the connection is first used. */
        fun of(
            connection: HttpConnection,
            dialect: BackendDialect,
            observer: ConnectionObserver,
            clock: Clock,
        ): LateAnswerFilter {
            val pipeline = (connection as HttpClientConnectionInternal).channelHandlerContext().pipeline()
            pipeline.get(LateAnswerFilter::class.java)?.let { return it }
            val filter = LateAnswerFilter(dialect, observer, clock)
            pipeline.addBefore(VERTX_HANDLER, "late-answer-filter", filter)
            return filter
        }

        private const val VERTX_HANDLER = "handler"
        private const val MAXIMUM_SKIPPED_BYTES = 1024 * 1024
    }
}
