package org.acaciaflow.transport.direct

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.PoolOptions
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.connection.AnswerHold
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.ReuseDecision
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.protocol.dialect.AnswerVerdict
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.protocol.dialect.HttpCalls
import org.acaciaflow.state.connection.AnswerForms
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.transport.http.BoundedBody
import org.acaciaflow.transport.http.RequestWriting
import org.acaciaflow.transport.http.awaitResult
import org.acaciaflow.transport.http.connect
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls backend servers over HTTP/1.1 keep-alive connections, without pipelining.
 *
 * A plain success of an isolated server is held for at most [answerHold].
 */
internal class DirectConnections(
    vertx: Vertx,
    private val dialect: BackendDialect,
    private val availability: BackendAvailability,
    surplus: SharedTable<SurplusAnswers>,
    private val observer: ConnectionObserver,
    private val calls: HttpCalls,
    private val scope: CoroutineScope,
    private val clock: Clock,
    answerHold: Duration = AnswerHold.DEFAULT_LONGEST,
    answerForms: SharedTable<AnswerForms> = createSharedTable(LockOrder.ANSWER_FORMS, AnswerForms.NONE),
) : BackendConnections {
    private val open = OpenConnections.create(surplus, observer, clock)
    private val forms = ObservedForms(answerForms, clock)
    private val held = HeldAnswers(observer, open, forms, answerHold, clock)
    private val successes = ObservedSuccesses.create(observer, clock)
    private val answers = AnswerReader(dialect, availability, observer)
    private val client: HttpClient =
        vertx.createHttpClient(
            HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
                .setSendBufferSize(RequestWriting.SEND_BUFFER_BYTES)
                .setMaxHeaderSize(HEADER_BYTES)
                .setKeepAliveTimeout(KEEP_ALIVE_TIMEOUT.inWholeSeconds.toInt()),
            PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_BACKEND),
        )

    /** The number of open connections that have carried a request. */
    val openConnections: Int
        get() = open.count

    /** The number of servers that get a connection for each request. */
    val isolatedServers: Int
        get() = open.countIsolated()

    override suspend fun open(
        order: RunOrder,
        body: WholeBody,
    ): AttemptStream {
        val head = dialect.runHead(order)
        return when (val sent = connectAndSend(order, CallPurpose.RUN, head, body)) {
            is Sending.NotSent -> FinishedStream(AttemptEvent.Refused(sent.reason))
            is Sending.Sent -> sent.stream
        }
    }

    override suspend fun prefill(
        order: RunOrder,
        body: WholeBody,
    ): PrefillOutcome {
        val head = dialect.prefillHead(order)
        val stream =
            when (val sent = connectAndSend(order, CallPurpose.PREFILL, head, body)) {
                is Sending.NotSent -> return PrefillOutcome.Refused(sent.reason)
                is Sending.Sent -> sent.stream
            }
        try {
            return when (val first = stream.next()) {
                is AttemptEvent.Head -> prefillOutcome(order, first.head, stream.readWhole(PREFILL_ANSWER_BYTES))
                is AttemptEvent.Refused -> PrefillOutcome.Refused(first.reason)
                is AttemptEvent.Broken -> PrefillOutcome.Broken(first.reason)
                is AttemptEvent.Data, AttemptEvent.End -> error("answer stream returned data before its head")
            }
        } finally {
            stream.cancel()
        }
    }

    override fun release(cache: CacheSource) {
        scope.launch { calls.call(cache.engine, dialect.releaseHead(cache), ByteString(), RELEASE_TIMEOUT) }
    }

    private fun prefillOutcome(
        order: RunOrder,
        head: AnswerHead,
        body: BoundedBody,
    ): PrefillOutcome =
        when (body) {
            is BoundedBody.Whole -> dialect.prefillOutcome(order, head, body.bytes)
            BoundedBody.TooLarge -> PrefillOutcome.Broken(MayHaveRun.ANSWER_TOO_LARGE)
            BoundedBody.Broken -> PrefillOutcome.Broken(MayHaveRun.BACKEND_CRASHED)
        }

    /** Connects and sends the request, unless the server may get no new work by the time that it is connected. */
    private suspend fun connectAndSend(
        order: RunOrder,
        purpose: CallPurpose,
        head: CallHead,
        body: WholeBody,
    ): Sending {
        val connected = connect(order, head) ?: return Sending.NotSent(AttemptRefusal.CONNECTION_REFUSED)
        val request = connected.request
        return when (val permission = availability.permissionFor(order)) {
            SendPermission.Granted, SendPermission.GrantedAsTrial -> {
                val call = SentCall(order, purpose, connected.history, sentAt = clock.now())
                observer.sending(order, purpose, connected.history, call.sentAt)
                connected.lateAnswers.expect(call)
                val carrier = CarrierConnection(request, open, connected.lateAnswers, connected.heads)
                Sending.Sent(sendAttempt(call, answers, carrier, head, body, clock))
            }

            is SendPermission.Denied -> {
                open.close(request.connection(), ConnectionCloseReason.SENDING_DENIED)
                Sending.NotSent(permission.reason)
            }
        }
    }

    /** Returns the unsent request on a connection that may carry it; null when the server can't be reached. */
    private suspend fun connect(
        order: RunOrder,
        head: CallHead,
    ): Connected? {
        var closedConnections = 0
        while (closedConnections < MAXIMUM_CLOSED_CONNECTIONS) {
            val request = client.connect(order.backend.address, head) ?: return null
            when (val decision = open.claim(request.connection(), order)) {
                is ReuseDecision.Use -> {
                    // The first of them to be added is the first to read.
                    val heads = MalformedAnswerFilter.of(request.connection(), dialect, open)
                    val lateAnswers = filterOf(request.connection())
                    if (heads != null && lateAnswers != null) {
                        return Connected(request, decision.history, lateAnswers, heads)
                    }
                    open.ended(request.connection())
                    request.connection().close()
                    closedConnections += 1 // the pool may not have noticed yet that it was closed
                }

                is ReuseDecision.Close -> {
                    // Waits, so that the pool can't return it again.
                    open.close(request.connection(), decision.reason).awaitResult()
                }
            }
        }
        return null
    }

    private fun filterOf(connection: HttpConnection): LateAnswerFilter? =
        LateAnswerFilter.of(connection, dialect, observer, open, forms, held, successes, clock)

    private class Connected(
        val request: HttpClientRequest,
        val history: ConnectionHistory,
        val lateAnswers: LateAnswerFilter,
        val heads: MalformedAnswerFilter,
    )

    private sealed interface Sending {
        data class Sent(
            val stream: DirectStream,
        ) : Sending

        data class NotSent(
            val reason: AttemptRefusal,
        ) : Sending
    }

    private companion object {
        const val PREFILL_ANSWER_BYTES = 64 * 1024 // a short document
        const val HEADER_BYTES = 64 * 1024
        const val CONNECTIONS_PER_BACKEND = 512 // not the concurrency limit: admission enforces the configured one
        const val MAXIMUM_CLOSED_CONNECTIONS = 3
        val CONNECT_TIMEOUT: Duration = 250.milliseconds // about ten round trips within a region
        val KEEP_ALIVE_TIMEOUT: Duration = 4.seconds // for servers that send no Keep-Alive timeout
        val RELEASE_TIMEOUT: Duration = 1.seconds
    }
}

/** A stream for a request that was never sent; every read returns [event]. */
private class FinishedStream(
    private val event: AttemptEvent,
) : AttemptStream {
    override suspend fun next(): AttemptEvent = event

    override fun cancel() = Unit
}

/** Maps the [verdict] on an answer's head to the event that ends the attempt; null when the answer is passed on. */
internal fun eventFor(verdict: AnswerVerdict): AttemptEvent? =
    when (verdict) {
        AnswerVerdict.Genuine -> null
        is AnswerVerdict.NotExecuted -> AttemptEvent.Refused(verdict.reason)
        AnswerVerdict.OfOtherRequest -> AttemptEvent.Broken(MayHaveRun.ANSWER_OF_OTHER_REQUEST)
        AnswerVerdict.Unsigned -> AttemptEvent.Broken(MayHaveRun.ANSWER_UNSIGNED)
        AnswerVerdict.NoStream -> AttemptEvent.Broken(MayHaveRun.ANSWER_NO_STREAM)
    }
