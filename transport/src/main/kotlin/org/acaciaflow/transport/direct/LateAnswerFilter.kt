package org.acaciaflow.transport.direct

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.connection.AnswerScreening
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.ScreeningDecision
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Skips late answers to earlier requests of a connection, so that the answer behind them is read; reports those that
 * arrive while no request is in progress.
 *
 * Vert.x takes the first answer that arrives for the one to the request in progress, so they are skipped before it.
 */
internal class LateAnswerFilter private constructor(
    private val dialect: BackendDialect,
    private val observer: ConnectionObserver,
    private val connection: HttpConnection,
    private val open: OpenConnections,
    private val clock: Clock,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var reading: Reading = Reading.Nothing(last = null)

    /** False once a HEAD was sent, since Netty then may pair an answer with the wrong method and misjudge its end. */
    @Volatile
    private var endsAreKnown = true
    private var reported = false

    /** True if answers were skipped since the request in progress was sent, and its own has not begun. */
    val hasSkipped: Boolean
        get() =
            when (val current = reading) {
                is Reading.Awaiting -> current.skipped > 0
                is Reading.Skipping -> true
                is Reading.Answering, is Reading.Nothing -> false
            }

    /** Returns true until the whole answer to [call] has arrived. */
    fun isOpen(call: SentCall): Boolean =
        when (val current = reading) {
            is Reading.Awaiting -> current.call === call
            is Reading.Skipping -> current.since.call === call
            is Reading.Answering -> current.call === call
            is Reading.Nothing -> false
        }

    /** Screens the answers that arrive from now on until the answer to [call] begins. */
    fun expect(call: SentCall) {
        if (call.order.call.method == HttpMethod.HEAD.name()) endsAreKnown = false
        reading = Reading.Awaiting(call, skipped = 0, skippedBytes = 0)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        when (val current = reading) {
            is Reading.Awaiting -> await(context, current, message)
            is Reading.Skipping -> skip(context, current.since, message)
            is Reading.Answering -> answer(context, current, message)
            is Reading.Nothing -> nothingAwaited(context, current, message)
        }
    }

    private fun await(
        context: ChannelHandlerContext,
        awaiting: Reading.Awaiting,
        message: Any,
    ) {
        when {
            message is HttpResponse && !isInterim(message) -> begin(context, awaiting, message)
            isMalformed(message) -> context.fireChannelRead(message)
            else -> ReferenceCountUtil.release(message) // Vert.x takes most interim answers for the answer itself
        }
    }

    private fun begin(
        context: ChannelHandlerContext,
        awaiting: Reading.Awaiting,
        response: HttpResponse,
    ) {
        val head = headOf(response)
        val answer = dialect.surplusAnswer(head)
        when (decide(awaiting, response, answer.requestIds)) {
            ScreeningDecision.Pass -> {
                answer(context, Reading.Answering(awaiting.call, head.status, answer.signature), response)
            }

            ScreeningDecision.Skip -> {
                val call = awaiting.call
                observer.skipped(call.order, call.history, answer, clock.now(), isFirst = !reported)
                open.surplusAnswered(call.order.backend.life)
                reported = true
                skip(context, awaiting.copy(skipped = awaiting.skipped + 1), response)
                closeIfUnfinishedLater(context)
            }
        }
    }

    /** Passes on a part of the answer to the request in progress. */
    private fun answer(
        context: ChannelHandlerContext,
        answering: Reading.Answering,
        message: Any,
    ) {
        // The state changes first: the end of the answer may free the connection for the next request at once.
        reading =
            when (message) {
                is LastHttpContent -> Reading.Nothing(answering.ended(clock.now()))
                else -> answering
            }
        context.fireChannelRead(message)
    }

    /** Reports an answer that no request waits for, and closes the connection. */
    private fun nothingAwaited(
        context: ChannelHandlerContext,
        nothing: Reading.Nothing,
        message: Any,
    ) {
        val last = nothing.last
        if (message is HttpResponse && last != null) {
            val head = headOf(message)
            val answer = dialect.surplusAnswer(head)
            val isFirst = open.surplusAnswered(last.life)
            observer.unrequested(answer, last, clock.now(), isFirst)
            reading = Reading.Nothing(last = null)
        }
        if (message !is HttpObject) {
            context.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        open.close(connection, ConnectionCloseReason.ANSWER_UNREQUESTED)
    }

    private fun decide(
        awaiting: Reading.Awaiting,
        response: HttpResponse,
        answerIds: List<String>,
    ): ScreeningDecision {
        val call = awaiting.call
        val hasKnownEnd = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        if (!endsAreKnown || !hasKnownEnd) return ScreeningDecision.Pass
        return AnswerScreening.decide(call.history, call.order.requestId, answerIds, awaiting.skipped)
    }

    /** Discards a part of a late answer; closes the connection if the answer is malformed or too large. */
    private fun skip(
        context: ChannelHandlerContext,
        since: Reading.Awaiting,
        message: Any,
    ) {
        val size = if (message is HttpContent) message.content().readableBytes() else 0
        val skipping = since.copy(skippedBytes = since.skippedBytes + size)
        reading = if (message is LastHttpContent) skipping else Reading.Skipping(skipping)
        ReferenceCountUtil.release(message)
        if (isMalformed(message) || skipping.skippedBytes > MAXIMUM_SKIPPED_BYTES) closeUnreadable(context)
    }

    /** Closes the connection unless the late answer ends soon: one that is cut short takes in the true answer. */
    private fun closeIfUnfinishedLater(context: ChannelHandlerContext) {
        val begun = (reading as? Reading.Skipping)?.since ?: return
        val check = {
            val since = (reading as? Reading.Skipping)?.since
            if (since != null && since.call === begun.call && since.skipped == begun.skipped) closeUnreadable(context)
        }
        context.executor().schedule(check, SKIP_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun closeUnreadable(context: ChannelHandlerContext) {
        open.closing(connection, ConnectionCloseReason.LATE_ANSWER_UNREADABLE)
        context.close()
    }

    private fun isMalformed(message: Any): Boolean = message !is HttpObject || message.decoderResult().isFailure

    /** Returns true if the answer itself is still to come; 101 is the last one on its connection. */
    private fun isInterim(response: HttpResponse): Boolean =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL &&
            response.status() != HttpResponseStatus.SWITCHING_PROTOCOLS

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

        /** The rest of the answer to [call], whose head has [status] and [signature]. */
        data class Answering(
            val call: SentCall,
            val status: Int,
            val signature: String?,
        ) : Reading {
            fun ended(now: Instant): AnsweredRequest =
                AnsweredRequest(
                    requestId = call.order.requestId,
                    life = call.order.backend.life,
                    history = call.history,
                    status = status,
                    signature = signature,
                    sentAt = call.sentAt,
                    at = now,
                )
        }

        /** No answer is due; [last] is the one that ended last. */
        data class Nothing(
            val last: AnsweredRequest?,
        ) : Reading
    }

    companion object {
        /** Returns the filter of [connection], added when it is first used; null if the connection has closed. */
        fun of(
            connection: HttpConnection,
            dialect: BackendDialect,
            observer: ConnectionObserver,
            open: OpenConnections,
            clock: Clock,
        ): LateAnswerFilter? {
            val channel = (connection as HttpClientConnectionInternal).channelHandlerContext().channel()
            val pipeline = channel.pipeline()
            val filter =
                pipeline.get(LateAnswerFilter::class.java)
                    ?: LateAnswerFilter(dialect, observer, connection, open, clock).also {
                        try {
                            pipeline.addBefore(VERTX_HANDLER, "late-answer-filter", it)
                        } catch (_: NoSuchElementException) {
                            return null // a channel that closes removes its handlers
                        }
                    }
            return filter.takeIf { channel.isActive }
        }

        private const val VERTX_HANDLER = "handler"
        private const val MAXIMUM_SKIPPED_BYTES = 1024 * 1024
        private val SKIP_TIMEOUT: Duration = 500.milliseconds
    }
}
