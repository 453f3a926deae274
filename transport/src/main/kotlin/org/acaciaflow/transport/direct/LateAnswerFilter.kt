package org.acaciaflow.transport.direct

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import org.acaciaflow.coordination.connection.AnswerScreening
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.HoldEnd
import org.acaciaflow.coordination.connection.HoldOutcome
import org.acaciaflow.coordination.connection.HoldStart
import org.acaciaflow.coordination.connection.ScreeningDecision
import org.acaciaflow.coordination.connection.SecondAnswerBodies
import org.acaciaflow.coordination.connection.SurplusAnswer
import org.acaciaflow.protocol.dialect.AnswerVerdict
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Skips late answers to earlier requests of a connection, so that the answer behind them is read; reports those that
 * arrive while no request is in progress.
 *
 * The end of a plain answer of an isolated server is held back for a moment, so that a second answer can contradict it.
 * Until the end has passed, Vert.x keeps the connection for its request.
 *
 * Vert.x takes the first answer that arrives for the one to the request in progress, so they are skipped before it.
 */
internal class LateAnswerFilter private constructor(
    private val dialect: BackendDialect,
    private val observer: ConnectionObserver,
    private val connection: HttpConnection,
    private val open: OpenConnections,
    private val forms: ObservedForms,
    private val held: HeldAnswers,
    private val successes: ObservedSuccesses,
    private val bytes: BytesRead,
    private val clock: Clock,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var reading: Reading = Reading.Nothing(last = null)

    /** False once a HEAD was sent, since Netty then may pair an answer with the wrong method and misjudge its end. */
    @Volatile
    private var endsAreKnown = true
    private var reported = false

    @Volatile
    private var contradicted: SentCall? = null

    /** The bytes that the connection had brought when the request in progress was sent. */
    @Volatile
    private var bytesBefore = 0L

    /** True if answers were skipped since the request in progress was sent, and its own has not begun. */
    val hasSkipped: Boolean
        get() =
            when (val current = reading) {
                is Reading.Awaiting -> current.skipped > 0
                is Reading.Skipping -> true
                is Reading.Answering,
                is Reading.Holding,
                is Reading.ReadingSecond,
                is Reading.Nothing,
                -> false
            }

    /** Returns true until the whole answer to [call] has arrived. */
    fun isOpen(call: SentCall): Boolean =
        when (val current = reading) {
            is Reading.Awaiting -> current.call === call
            is Reading.Skipping -> current.since.call === call
            is Reading.Answering -> current.call === call
            is Reading.Holding -> current.call === call
            is Reading.ReadingSecond, is Reading.Nothing -> false
        }

    /** Returns true while the whole answer to [call] is held back. */
    fun isHeld(call: SentCall): Boolean = (reading as? Reading.Holding)?.call === call

    /** Returns true if the answer to [call] arrived whole and is not believed. */
    fun isContradicted(call: SentCall): Boolean = contradicted === call

    /** Screens the answers that arrive from now on until the answer to [call] begins. */
    fun expect(call: SentCall) {
        if (call.order.call.method == HttpMethod.HEAD.name()) endsAreKnown = false
        if (reading is Reading.ReadingSecond) open.close(connection, ConnectionCloseReason.ANSWER_UNREQUESTED)
        bytesBefore = bytes.count
        reading = Reading.Awaiting(call, skipped = 0, skippedBytes = 0)
    }

    /**
     * Isolates the server, which has written an answer into another one; neither is read here.
     *
     * A held success behind which that happened is not believed.
     */
    fun malformedAnswered(context: ChannelHandlerContext) {
        when (val current = reading) {
            is Reading.Awaiting -> open.surplusAnswered(current.call.order.backend.life)
            is Reading.Skipping -> open.surplusAnswered(current.since.call.order.backend.life)
            is Reading.Answering -> open.surplusAnswered(current.call.order.backend.life)
            is Reading.ReadingSecond -> open.surplusAnswered(current.last.life)
            is Reading.Nothing -> current.last?.let { open.surplusAnswered(it.life) }
            is Reading.Holding -> {
                open.surplusAnswered(current.answered.life)
                endHold(context, current, held.connectionEnded(current.answered, isExpected = false))
            }
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        when (val current = reading) {
            is Reading.Awaiting -> await(context, current, message)
            is Reading.Skipping -> skip(context, current.since, message)
            is Reading.Answering -> answer(context, current, message)
            is Reading.Holding -> hold(context, current, message)
            is Reading.ReadingSecond -> readSecond(current, message)
            is Reading.Nothing -> nothingAwaited(context, current, message)
        }
    }

    /** Reads on behind an answer that its reader has not taken yet, for which Vert.x may have paused the connection. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        val isReadingOn = reading is Reading.Holding || reading is Reading.ReadingSecond
        if (isReadingOn) context.read()
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (reading is Reading.Awaiting || reading is Reading.Answering) troubleSeen()
        endHoldWithConnection(context)
        context.fireChannelInactive()
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        endHoldWithConnection(context) // Vert.x breaks off an answer whose end has not passed
        context.fireExceptionCaught(cause)
    }

    private fun troubleSeen() {
        val pool =
            when (val current = reading) {
                is Reading.Awaiting -> current.call.order.backend.pool
                is Reading.Skipping -> current.since.call.order.backend.pool
                is Reading.Answering -> current.call.order.backend.pool
                is Reading.Holding -> current.answered.pool
                is Reading.ReadingSecond -> current.last.pool
                is Reading.Nothing -> current.last?.pool
            }
        pool?.let(successes::troubleSeen)
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
        when (decide(awaiting, response, answer)) {
            ScreeningDecision.Pass -> {
                val call = awaiting.call
                val isRefusal = isRefusal(call, head)
                if (isRefusal && isContradicted(call)) {
                    ReferenceCountUtil.release(response)
                    closeContradicted(context)
                    return
                }
                contradicted = null
                val answering =
                    Reading.Answering(
                        call,
                        head.status,
                        isRefusal,
                        answer.signature,
                        answer.form,
                        announcesClose(response, call.order.call.method),
                        SmallBody(response),
                    )
                answer(context, answering, response)
            }

            ScreeningDecision.Skip -> {
                val call = awaiting.call
                troubleSeen()
                observer.skipped(call.order, call.history, answer, clock.now(), isFirst = !reported)
                open.surplusAnswered(call.order.backend.life)
                forms.lateSeen(call.order, answer)
                reported = true
                skip(context, awaiting.copy(skipped = awaiting.skipped + 1), response)
                closeIfUnfinishedLater(context)
            }

            ScreeningDecision.SkipDoubted -> {
                doubt(awaiting.call, answer, SmallBody(response))
                skip(context, awaiting.copy(skipped = awaiting.skipped + 1), response)
                closeIfUnfinishedLater(context)
                closeUnlessAnswered(context, awaiting.call)
            }

            ScreeningDecision.Reject -> {
                doubt(awaiting.call, answer, SmallBody(response))
                ReferenceCountUtil.release(response)
                closeContradicted(context)
            }
        }
    }

    private fun isRefusal(
        call: SentCall,
        head: AnswerHead,
    ): Boolean = dialect.classifyAnswer(call.order, call.purpose, head) is AnswerVerdict.NotExecuted

    /** Reports that [answer], which names the request of [call], is not believed. */
    private fun doubt(
        call: SentCall,
        answer: SurplusAnswer,
        body: SmallBody,
    ) {
        val answering =
            Reading.Answering(
                call,
                answer.status,
                isRefusal = false,
                answer.signature,
                answer.form,
                announcesClose = false,
                body,
            )
        held.doubted(answering.ended(clock.now()), isFirst = !isContradicted(call))
        contradicted = call
    }

    /** Closes the connection unless another answer to [call] begins soon. */
    private fun closeUnlessAnswered(
        context: ChannelHandlerContext,
        call: SentCall,
    ) {
        val waiting = held.waitingTime(call)
        context.after(waiting) {
            val current = reading
            val isAwaited = current is Reading.Awaiting && current.call === call
            val isSkipping = current is Reading.Skipping && current.since.call === call
            if (isAwaited || isSkipping) closeContradicted(context)
        }
    }

    /** Closes the connection, which breaks its request off. */
    private fun closeContradicted(context: ChannelHandlerContext) {
        reading = Reading.Nothing(last = null)
        open.closing(connection, ConnectionCloseReason.ANSWER_CONTRADICTED)
        context.close()
    }

    /** Passes on a part of the answer to the request in progress. */
    private fun answer(
        context: ChannelHandlerContext,
        answering: Reading.Answering,
        message: Any,
    ) {
        answering.body.add(message)
        when {
            message !is LastHttpContent -> {
                reading = answering
                context.fireChannelRead(message)
            }

            isMalformed(message) -> {
                troubleSeen()
                val answered = answering.ended(clock.now())
                forms.passedOn(answered)
                end(context, answered, message)
            }

            else -> {
                answered(context, answering, message)
            }
        }
    }

    private fun answered(
        context: ChannelHandlerContext,
        answering: Reading.Answering,
        end: LastHttpContent,
    ) {
        val answered = answering.ended(clock.now())
        when (val start = held.begin(answering.call, answered)) {
            HoldStart.PassOn -> {
                passOn(context, answering.call, answered, end, answering.body.length, isHeld = false)
            }

            is HoldStart.Hold -> {
                val holding =
                    Reading.Holding(
                        answering.call,
                        answered,
                        answering.body.length,
                        end,
                        answering.announcesClose,
                    )
                reading = holding
                context.after(start.duration) { endHold(context, holding) }
            }
        }
    }

    private fun passOn(
        context: ChannelHandlerContext,
        call: SentCall,
        answered: AnsweredRequest,
        end: LastHttpContent,
        length: Long,
        isHeld: Boolean,
    ) {
        forms.passedOn(answered)
        successes.ended(call, answered, length, bytes.count - bytesBefore, isHeld)
        end(context, answered, end)
    }

    private fun end(
        context: ChannelHandlerContext,
        answered: AnsweredRequest,
        end: LastHttpContent,
    ) {
        // The state changes first: the end of the answer may free the connection for the next request at once.
        reading = Reading.Nothing(answered)
        context.fireChannelRead(end)
    }

    /** Takes what arrives behind a held answer: an interim answer, one to another request, or a second answer. */
    private fun hold(
        context: ChannelHandlerContext,
        holding: Reading.Holding,
        message: Any,
    ) {
        val outcome =
            when {
                isMalformed(message) -> HoldEnd.PassOn
                message is HttpResponse && !isInterim(message) -> secondAnswered(holding, message)
                else -> HoldOutcome.Wait
            }
        when (outcome) {
            HoldOutcome.Wait -> {
                ReferenceCountUtil.release(message)
            }

            HoldEnd.PassOn -> {
                release(context, holding)
                channelRead(context, message)
            }

            is HoldEnd.Reject -> {
                ReferenceCountUtil.release(message)
                reject(context, holding)
            }
        }
    }

    private fun secondAnswered(
        holding: Reading.Holding,
        response: HttpResponse,
    ): HoldOutcome {
        troubleSeen()
        return held.secondAnswered(holding.answered, dialect.surplusAnswer(headOf(response)))
    }

    /** Ends the hold of an answer that stands alone if the connection is still in the state [holding]. */
    private fun endHold(
        context: ChannelHandlerContext,
        holding: Reading.Holding,
    ) {
        if (reading === holding) endHold(context, holding, held.ended(holding.answered))
    }

    /** Ends the hold of an answer whose connection has ended. */
    private fun endHoldWithConnection(context: ChannelHandlerContext) {
        val holding = reading as? Reading.Holding ?: return
        val isExpected = holding.announcesClose || open.isClosing(connection)
        endHold(context, holding, held.connectionEnded(holding.answered, isExpected))
    }

    private fun endHold(
        context: ChannelHandlerContext,
        holding: Reading.Holding,
        end: HoldEnd,
    ) {
        when (end) {
            HoldEnd.PassOn -> {
                release(context, holding)
                context.fireChannelReadComplete()
            }

            is HoldEnd.Reject -> {
                reject(context, holding)
            }
        }
    }

    private fun release(
        context: ChannelHandlerContext,
        holding: Reading.Holding,
    ) {
        observer.holdEnded(holding.answered, clock.now())
        passOn(context, holding.call, holding.answered, holding.end, holding.length, isHeld = true)
    }

    /** Drops the end of a held answer and closes the connection, which breaks its request off. */
    private fun reject(
        context: ChannelHandlerContext,
        holding: Reading.Holding,
    ) {
        observer.holdEnded(holding.answered, clock.now())
        contradicted = holding.call
        reading = Reading.Nothing(last = null)
        ReferenceCountUtil.release(holding.end)
        open.closing(connection, ConnectionCloseReason.ANSWER_CONTRADICTED)
        context.close()
    }

    /** Reports an answer that no request waits for, and closes the connection, after its body if that tells anything. */
    private fun nothingAwaited(
        context: ChannelHandlerContext,
        nothing: Reading.Nothing,
        message: Any,
    ) {
        val last = nothing.last
        if (message is HttpResponse && last != null) {
            troubleSeen()
            val head = headOf(message)
            val answer = dialect.surplusAnswer(head)
            val isFirst = open.surplusAnswered(last.life)
            observer.unrequested(answer, last, clock.now(), isFirst)
            open.contradictionSeen(last, answer)
            forms.secondSeen(last, answer)
            reading = Reading.Nothing(last = null)
            val body = SmallBody(message)
            if (endsAreKnown && !body.isLong && SecondAnswerBodies.isTelling(last, answer)) {
                beginSecond(context, Reading.ReadingSecond(last, body))
            }
        }
        if (message !is HttpObject) {
            context.fireChannelRead(message)
            return
        }
        if (reading is Reading.Nothing) open.close(connection, ConnectionCloseReason.ANSWER_UNREQUESTED)
        ReferenceCountUtil.release(message)
    }

    private fun beginSecond(
        context: ChannelHandlerContext,
        second: Reading.ReadingSecond,
    ) {
        reading = second
        open.closing(connection, ConnectionCloseReason.ANSWER_UNREQUESTED)
        context.after(SKIP_TIMEOUT) { if (reading === second) closeAfterSecond() }
    }

    /** Reads a part of a second answer; closes the connection after it, or once it is long. */
    private fun readSecond(
        second: Reading.ReadingSecond,
        message: Any,
    ) {
        val isUnreadable = isMalformed(message)
        if (!isUnreadable) second.body.add(message)
        ReferenceCountUtil.release(message)
        val isWhole = message is LastHttpContent && !isUnreadable
        if (isWhole) second.body.fingerprint?.let { open.secondAnswerSeen(second.last, it) }
        if (isWhole || isUnreadable || second.body.isLong) closeAfterSecond()
    }

    private fun closeAfterSecond() {
        reading = Reading.Nothing(last = null)
        open.close(connection, ConnectionCloseReason.ANSWER_UNREQUESTED)
    }

    private fun decide(
        awaiting: Reading.Awaiting,
        response: HttpResponse,
        answer: SurplusAnswer,
    ): ScreeningDecision {
        val call = awaiting.call
        return AnswerScreening.decide(
            call.history,
            call.order.requestId,
            answer.requestIds,
            awaiting.skipped,
            isDoubted = forms.isDoubted(call, answer.form),
            hasKnownEnd = endsAreKnown && hasKnownEnd(response),
        )
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
        context.after(SKIP_TIMEOUT, check)
    }

    private fun closeUnreadable(context: ChannelHandlerContext) {
        open.closing(connection, ConnectionCloseReason.LATE_ANSWER_UNREADABLE)
        context.close()
    }

    companion object {
        /** Returns the filter of [connection], added when it is first used; null if the connection has closed. */
        fun of(
            connection: HttpConnection,
            dialect: BackendDialect,
            observer: ConnectionObserver,
            open: OpenConnections,
            forms: ObservedForms,
            held: HeldAnswers,
            successes: ObservedSuccesses,
            clock: Clock,
        ): LateAnswerFilter? {
            val channel = (connection as HttpClientConnectionInternal).channelHandlerContext().channel()
            val pipeline = channel.pipeline()
            val known = pipeline.get(LateAnswerFilter::class.java)
            if (known != null) return known.takeIf { channel.isActive }
            val bytes = BytesRead()
            val filter = LateAnswerFilter(dialect, observer, connection, open, forms, held, successes, bytes, clock)
            try {
                pipeline.addBefore(VERTX_HANDLER, "late-answer-filter", filter)
                pipeline.addFirst("bytes-read", bytes)
            } catch (_: NoSuchElementException) {
                return null // a channel that closes removes its handlers
            }
            return filter.takeIf { channel.isActive }
        }

        private const val VERTX_HANDLER = "handler"
        private const val MAXIMUM_SKIPPED_BYTES = 1024 * 1024
        private val SKIP_TIMEOUT: Duration = 500.milliseconds
    }
}
