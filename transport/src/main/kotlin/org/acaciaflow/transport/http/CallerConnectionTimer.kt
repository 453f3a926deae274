package org.acaciaflow.transport.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.util.ByteProcessor
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.impl.HttpServerConnection
import org.acaciaflow.coordination.caller.CallerConnectionPolicy
import org.acaciaflow.coordination.caller.CallerConnectionState
import org.acaciaflow.coordination.caller.CallerConnectionStep
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.transport.direct.after
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/**
 * Closes a caller's connection that is idle for too long, or whose next head takes too long, by the limits of [frontEnd].
 *
 * It reads before all others, since Vert.x tells of a head only when that is complete. All state belongs to the event loop of the connection.
 */
internal class CallerConnectionTimer private constructor(
    private val frontEnd: FrontEnd,
    private val observations: Observations,
    private val clock: Clock,
) : ChannelInboundHandlerAdapter() {
    private var state = CallerConnectionState(openCalls = 0, headBegunAt = null, lastUsedAt = clock.now())
    private var latest: HttpServerRequest? = null
    private var checkAt: Instant? = null

    override fun handlerAdded(context: ChannelHandlerContext) = check(context)

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        val now = clock.now()
        state = state.copy(lastUsedAt = now, headBegunAt = state.headBegunAt ?: now.takeIf { mayBeginHead(message) })
        context.fireChannelRead(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        context.fireChannelReadComplete()
        if (state.headBegunAt != null) check(context)
    }

    /** Counts [request], whose head was read, until the returned function is run on the event loop. */
    fun begin(request: HttpServerRequest): () -> Unit {
        latest = request
        state = state.copy(openCalls = state.openCalls + 1, headBegunAt = null)
        return { state = state.copy(openCalls = state.openCalls - 1, lastUsedAt = clock.now()) }
    }

    /**
     * False while a call is open, and while the rest of a body that was answered early still arrives.
     *
     * Empty lines before a head are not a part of it: some callers write one behind each body.
     */
    private fun mayBeginHead(message: Any): Boolean =
        state.openCalls == 0 && latest?.isEnded != false && (message !is ByteBuf || hasText(message))

    private fun hasText(bytes: ByteBuf): Boolean = bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0

    private fun check(context: ChannelHandlerContext) {
        val now = clock.now()
        when (val step = CallerConnectionPolicy.decide(state, frontEnd.timeouts, now)) {
            is CallerConnectionStep.Wait -> checkAgain(context, step.until ?: (now + frontEnd.timeouts.idle), now)
            CallerConnectionStep.CloseIdle -> context.close()
            CallerConnectionStep.RefuseHead -> refuse(context)
        }
    }

    /** Checks again at [due], unless a check is due before. */
    private fun checkAgain(
        context: ChannelHandlerContext,
        due: Instant,
        now: Instant,
    ) {
        val planned = checkAt
        if (planned != null && planned in now..due) return
        checkAt = due
        context.after((due - now).coerceAtMost(LONGEST_WAIT)) {
            if (checkAt == due) checkAt = null
            if (context.channel().isActive) check(context)
        }
    }

    private fun refuse(context: ChannelHandlerContext) {
        observations.refused(NotRun.HEAD_LATE)
        val bytes = bytesOf(frontEnd.refusals.encode(NotRun.HEAD_LATE, retryAfter = null))
        context.writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(ChannelFutureListener.CLOSE)
    }

    /** Encodes [answer] as it goes over the connection: there is no request that Vert.x could answer. */
    private fun bytesOf(answer: RefusalAnswer): ByteArray {
        val fields = answer.headers.joinToString("") { "${it.name}: ${it.value}\r\n" }
        val head = "HTTP/1.1 ${answer.status} Request Timeout\r\n${fields}Connection: close\r\n\r\n"
        return head.toByteArray(Charsets.ISO_8859_1) + answer.body.toByteArray()
    }

    companion object {
        private val LONGEST_WAIT: Duration = 1.hours

        /** Adds a timer to [connection], which has just been opened. */
        fun addTo(
            connection: HttpConnection,
            frontEnd: FrontEnd,
            observations: Observations,
            clock: Clock,
        ) {
            pipelineOf(connection).addFirst(CallerConnectionTimer(frontEnd, observations, clock))
        }

        /** Returns the timer of [connection]. */
        fun of(connection: HttpConnection): CallerConnectionTimer? =
            pipelineOf(connection).get(CallerConnectionTimer::class.java)

        private fun pipelineOf(connection: HttpConnection): ChannelPipeline =
            (connection as HttpServerConnection).channelHandlerContext().pipeline()
    }
}
