package org.acaciaflow.transport.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerConnectionFailure
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.http.HopByHopHeaders
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** HTTP front end for callers; accepts any method, path, headers and body. */
internal class CallerServer(
    private val vertx: Vertx,
    private val acceptor: CallAcceptor,
    private val observations: Observations,
    private val scope: CoroutineScope,
    private val frontEnd: FrontEnd,
    private val clock: Clock,
) {
    private val open = OpenCalls()

    @Volatile
    private var server: HttpServer? = null

    /** Number of calls whose answer is not complete. */
    val openCalls: Int
        get() = open.count

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.route().handler { context -> handle(context.request()) }
        val options =
            HttpServerOptions()
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false) // its detection hides a connection until its first head is read
                .setMaxInitialLineLength(LINE_BYTES)
                .setMaxHeaderSize(HEADER_BYTES)
                .setAcceptBacklog(ACCEPT_BACKLOG)
        return vertx
            .createHttpServer(options)
            .requestHandler(router)
            .connectionHandler { CallerConnectionTimer.addTo(it, frontEnd, observations, clock) }
            .exceptionHandler { noteFailure(it) }
            .listen(address.port, address.ip)
            .coAwait()
            .also { server = it }
    }

    /**
     * Closes the port and all connections: idle ones at once, the others when their call is answered.
     *
     * Returns when all are closed and no call is open; closes those that are still open after [timeout].
     */
    suspend fun shutdown(timeout: Duration) {
        withTimeoutOrNull(timeout) {
            server?.shutdown(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)?.coAwait()
            open.awaitNone()
        }
    }

    /** Waits until no call has been open for [time]. */
    suspend fun awaitIdle(time: Duration) = open.awaitIdle(time)

    private fun handle(request: HttpServerRequest) {
        val closed = CompletableDeferred<Unit>()
        val channel = BodyChannel(request.pause())
        val end = endOf(request)
        val answer = CallerAnswer(request, frontEnd, observations, onWritten = end)
        request.response().closeHandler {
            end()
            channel.abort()
            closed.complete(Unit)
        }
        scope.launch { acceptOrAbort(request, channel, answer, closed) }
    }

    /** Counts [request] as open until the returned function is run. */
    private fun endOf(request: HttpServerRequest): () -> Unit {
        val endCall = open.begin()
        val endOnConnection = CallerConnectionTimer.of(request.connection())?.begin(request)
        val ended = AtomicBoolean()
        return {
            if (ended.compareAndSet(false, true)) {
                endCall()
                endOnConnection?.invoke()
            }
        }
    }

    private suspend fun acceptOrAbort(
        request: HttpServerRequest,
        channel: BodyChannel,
        answer: CallerAnswer,
        closed: CompletableDeferred<Unit>,
    ) {
        try {
            accept(request, channel, answer, closed)
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            abort(channel, answer, failure)
        } catch (overflow: StackOverflowError) {
            abort(channel, answer, overflow)
        }
    }

    private suspend fun accept(
        request: HttpServerRequest,
        channel: BodyChannel,
        answer: CallerAnswer,
        closed: CompletableDeferred<Unit>,
    ) {
        val limits = frontEnd.bodyLimits()
        val declared = request.getHeader("content-length")?.toLongOrNull() ?: 0
        val isDeclaredTooLarge = declared > limits.maximumBytes
        val isTargetMalformed = !isVisibleAscii(request.uri())
        val isRefused = isDeclaredTooLarge || isTargetMalformed
        val head = headOf(request)
        val read = if (isRefused) BodyStart.UNREAD else readInTime(channel, limits.bufferedBytes, head)
        val start = read ?: BodyStart.UNREAD
        val body = VertxCallBody(channel, start, limits.maximumBytes)
        val exchange = VertxCallerExchange(head, body, answer, closed)
        when {
            read == null -> refuseLate(exchange, answer)
            start.broken -> observations.refused(NotRun.CALLER_GONE)
            isTargetMalformed -> refuse(exchange, NotRun.TARGET_MALFORMED)
            isDeclaredTooLarge || start.bytes.size > limits.maximumBytes -> refuse(exchange, limits.excess)
            else -> acceptor.accept(exchange)
        }
    }

    /** Buffers the start of a body; returns null if that takes longer than the caller waits, or a part of it too long. */
    private suspend fun readInTime(
        channel: BodyChannel,
        bufferedBytes: Long,
        head: CallHead,
    ): BodyStart? {
        val limit = frontEnd.timeLimitOf(head) ?: Duration.INFINITE
        return withTimeoutOrNull(limit) { readStart(channel, bufferedBytes, frontEnd.timeouts.idle) }
    }

    /** Refuses a call whose body is incomplete; the rest of it may never come, so no further call can follow. */
    private suspend fun refuseLate(
        exchange: VertxCallerExchange,
        answer: CallerAnswer,
    ) {
        answer.closeConnectionAfter()
        refuse(exchange, NotRun.BODY_LATE)
    }

    private fun noteFailure(failure: Throwable) =
        observations.callerConnectionFailed(
            when (failure) {
                is IOException -> CallerConnectionFailure.FAILED
                else -> CallerConnectionFailure.REQUEST_MALFORMED
            },
        )

    /** False for a target that the HTTP client, which encodes targets as UTF-8, would not send as it came. */
    private fun isVisibleAscii(target: String): Boolean = target.all { it in '!'..'~' }

    /** Ends a call whose handling has failed; it may have been passed on. */
    private fun abort(
        channel: BodyChannel,
        answer: CallerAnswer,
        failure: Throwable,
    ) {
        observations.event(Event.WorkerFailed(failure))
        observations.refused(MayHaveRun.GATEWAY_FAULT)
        channel.discard()
        answer.abort(MayHaveRun.GATEWAY_FAULT)
    }

    private suspend fun refuse(
        exchange: VertxCallerExchange,
        reason: NotRun,
    ) {
        observations.refused(reason)
        exchange.refuse(reason, RETRY_AFTER.takeIf { reason == NotRun.NO_CONFIGURATION })
    }

    private fun headOf(request: HttpServerRequest): CallHead {
        val fields = HopByHopHeaders.strip(request.headers().toFields())
        return CallHead(request.method().name(), request.uri(), withoutExpectation(fields))
    }

    /** Removes the Expect header: this server sends `100 Continue` itself. */
    private fun withoutExpectation(fields: List<HeaderField>) =
        fields.filterNot { it.name.equals("expect", ignoreCase = true) }.toPersistentList()

    private companion object {
        const val LINE_BYTES = 16 * 1024
        const val HEADER_BYTES = 64 * 1024
        val RETRY_AFTER: Duration = 1.seconds
        const val ACCEPT_BACKLOG = 1024 // a full queue drops SYNs, and a burst of callers would wait for retransmission
    }
}
