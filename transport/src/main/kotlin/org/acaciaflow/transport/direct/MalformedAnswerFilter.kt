package org.acaciaflow.transport.direct

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.protocol.http.AnswerIntegrity
import org.acaciaflow.state.work.HeaderField
import java.nio.charset.StandardCharsets

/**
 * Closes a connection on which one answer runs into another or has a status that none has, and passes on nothing of the
 * malformed answer.
 *
 * It reads before all others, so that an interim, a late or a second answer is judged by the same rule.
 *
 * The end of a body with a length is passed on once all that has arrived is decoded: when a body was cut, the start of the
 * next answer completes it, and the rest of that answer, which follows at once, is no answer. Other bytes behind a whole
 * answer belong to no request and don't harm it.
 */
internal class MalformedAnswerFilter private constructor(
    private val dialect: BackendDialect,
    private val connection: HttpConnection,
    private val open: OpenConnections,
) : ChannelInboundHandlerAdapter() {
    /** True once an answer was malformed; the connection is closed then. */
    @Volatile
    var hasRejected = false
        private set

    private var hasLength = false

    /** The last bytes of the body with a length that was read last, one character each. */
    private var bodyEnd = ""
    private var end: LastHttpContent? = null

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        when {
            hasRejected -> ReferenceCountUtil.release(message)
            isRestOfAnswer(message) || !(isMalformed(message) || isSound(message)) -> reject(context, message)
            else -> accept(context, message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        passEnd(context)
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        passEnd(context)
        context.fireChannelInactive()
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        passEnd(context)
        context.fireExceptionCaught(cause)
    }

    /** Returns true if [message] is the rest of an answer whose start has completed the body before it. */
    private fun isRestOfAnswer(message: Any): Boolean =
        end != null && isNoAnswer(message) && AnswerIntegrity.endsWithAnswer(bodyEnd)

    private fun accept(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        passEnd(context)
        if (message is HttpResponse) {
            hasLength = HttpUtil.isContentLengthSet(message)
            bodyEnd = ""
        }
        if (message is HttpContent && hasLength) bodyEnd = (bodyEnd + endOf(message)).takeLast(BODY_END_BYTES)
        if (message is LastHttpContent && hasLength && !isMalformed(message)) {
            end = message
        } else {
            context.fireChannelRead(message)
        }
    }

    private fun endOf(content: HttpContent): String {
        val bytes = content.content()
        val length = minOf(bytes.readableBytes(), BODY_END_BYTES)
        return bytes.toString(bytes.writerIndex() - length, length, StandardCharsets.ISO_8859_1)
    }

    private fun passEnd(context: ChannelHandlerContext) {
        val passed = end ?: return
        end = null
        context.fireChannelRead(passed)
    }

    private fun isSound(message: Any): Boolean =
        when (message) {
            is HttpResponse -> {
                AnswerIntegrity.isOneHead(headOf(message), message.status().reasonPhrase(), dialect.singleFields)
            }

            is LastHttpContent -> {
                val trailers = message.trailingHeaders().map { HeaderField(it.key, it.value) }
                AnswerIntegrity.areTrailers(trailers, dialect.singleFields)
            }

            else -> {
                true
            }
        }

    private fun reject(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        hasRejected = true
        end?.let(ReferenceCountUtil::release)
        end = null
        ReferenceCountUtil.release(message)
        open.closing(connection, ConnectionCloseReason.ANSWER_MALFORMED)
        val lateAnswers = context.pipeline().context(LateAnswerFilter::class.java)
        (lateAnswers?.handler() as? LateAnswerFilter)?.malformedAnswered(lateAnswers)
        context.close()
    }

    companion object {
        /** Returns the filter of [connection], added when it is first used; null if the connection has closed. */
        fun of(
            connection: HttpConnection,
            dialect: BackendDialect,
            open: OpenConnections,
        ): MalformedAnswerFilter? {
            val pipeline = (connection as HttpClientConnectionInternal).channelHandlerContext().channel().pipeline()
            pipeline.get(MalformedAnswerFilter::class.java)?.let { return it }
            val filter = MalformedAnswerFilter(dialect, connection, open)
            return try {
                pipeline.addBefore(VERTX_HANDLER, "malformed-answer-filter", filter)
                filter
            } catch (_: NoSuchElementException) {
                null // a channel that closes removes its handlers
            }
        }

        private const val VERTX_HANDLER = "handler"
        private const val BODY_END_BYTES = 1024 // the head of an answer is shorter
    }
}
