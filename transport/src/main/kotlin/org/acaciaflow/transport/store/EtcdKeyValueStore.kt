package org.acaciaflow.transport.store

import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.core.parsetools.RecordParser
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.callbackFlow
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.LeaseIdentity
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.port.SwapOutcome
import org.acaciaflow.protocol.dialect.HttpResult
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.protocol.store.EtcdJson
import org.acaciaflow.protocol.store.LeaseGrantRequest
import org.acaciaflow.protocol.store.LeaseGrantResponse
import org.acaciaflow.protocol.store.LeaseKeepAliveRequest
import org.acaciaflow.protocol.store.LeaseKeepAliveResponse
import org.acaciaflow.protocol.store.RangeRequest
import org.acaciaflow.protocol.store.RangeResponse
import org.acaciaflow.protocol.store.ReceivedRange
import org.acaciaflow.protocol.store.ReceivedWatch
import org.acaciaflow.protocol.store.TransactionRequest
import org.acaciaflow.protocol.store.TransactionResponse
import org.acaciaflow.protocol.store.WatchRequest
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField
import org.acaciaflow.transport.direct.VertxHttpCalls
import org.acaciaflow.transport.observation.Meters
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Client of the platform's key-value store, which serves the etcd v3 JSON API over HTTP.
 *
 * Connections are kept. The answer to a read or a write names its key, so that one of another call is told apart; its
 * connection is closed.
 */
internal class EtcdKeyValueStore(
    vertx: Vertx,
    private val address: HostAddress,
    registry: MeterRegistry,
    private val observations: Observations,
    maximumAnswerBytes: Int = MAXIMUM_ANSWER_BYTES,
) : KeyValueStore {
    private val available = AtomicBoolean(true)
    private val calls = VertxHttpCalls(vertx, maximumAnswerBytes, keepAlive = true)
    private val watchClient = vertx.createHttpClient(HttpClientOptions())
    private val callCounter = registry.counter(Meters.STORE_CALLS)

    override suspend fun read(key: StoreKey): StoreResult<StoredValue?> =
        call(
            EtcdJson.RANGE_PATH,
            RangeRequest.serializer(),
            EtcdJson.readRequest(key),
            RangeResponse.serializer(),
        ) { EtcdJson.answersRead(key, it) }
            .map { response -> response.kvs.firstOrNull()?.let(EtcdJson::decodeValue) }

    override suspend fun list(
        prefix: StoreKey,
        limit: Int,
    ): StoreResult<PersistentList<StoredValue>> =
        call(
            EtcdJson.RANGE_PATH,
            RangeRequest.serializer(),
            EtcdJson.listRequest(prefix, limit),
            ReceivedRange.serializer(),
        ).map { response -> response.kvs.mapNotNull { readable(EtcdJson.decodePair(it), it) }.toPersistentList() }

    override suspend fun swap(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        lease: LeaseIdentity?,
    ): StoreResult<SwapOutcome> {
        val request = EtcdJson.swapRequest(key, expected, value, lease?.number)
        val response =
            call(
                EtcdJson.TRANSACTION_PATH,
                TransactionRequest.serializer(),
                request,
                TransactionResponse.serializer(),
            ) { EtcdJson.answersSwap(key, expected, value, it) }
        return response.map(::swapOutcome)
    }

    override suspend fun grantLease(timeToLive: Duration): StoreResult<LeaseIdentity> {
        val request = LeaseGrantRequest(timeToLive.inWholeSeconds.toString())
        val response =
            call(
                EtcdJson.LEASE_GRANT_PATH,
                LeaseGrantRequest.serializer(),
                request,
                LeaseGrantResponse.serializer(),
            )
        return response.map { LeaseIdentity(it.identity.toLong()) }
    }

    override suspend fun renewLease(lease: LeaseIdentity): StoreResult<Boolean> {
        val request = LeaseKeepAliveRequest(lease.number.toString())
        val response =
            call(
                EtcdJson.LEASE_KEEP_ALIVE_PATH,
                LeaseKeepAliveRequest.serializer(),
                request,
                LeaseKeepAliveResponse.serializer(),
            ) { it.result.identity == request.identity }
        return response.map { it.result.timeToLive.toLong() > 0 }
    }

    override fun watch(prefix: StoreKey): Flow<StoredValue> =
        callbackFlow {
            callCounter.increment()
            val body = EtcdJson.json.encodeToString(WatchRequest.serializer(), EtcdJson.watchRequest(prefix))
            val lines =
                RecordParser
                    .newDelimited("\n") { line -> decodeEvents(line).forEach { trySend(it) } }
                    .maxRecordSize(MAXIMUM_LINE_BYTES)
                    .exceptionHandler { close() }
            val options =
                RequestOptions()
                    .setMethod(HttpMethod.POST)
                    .setHost(address.ip)
                    .setPort(address.port)
                    .setURI(EtcdJson.WATCH_PATH)
            val request = watchClient.request(options)
            request
                .compose { call ->
                    // Set before the request is sent: parts of an answer that has no handler yet are lost.
                    val answer =
                        call.response().onSuccess { response ->
                            response.handler(lines).endHandler { close() }.exceptionHandler { close() }
                        }
                    call.end(Buffer.buffer(body)).compose { answer }
                }.onFailure { close() }
            awaitClose { request.onSuccess { it.reset() } }
        }

    /** Calls the store; an answer that [isAnswer] rejects is of another call, and counts as malformed. */
    private suspend fun <Request, Response> call(
        path: String,
        requestType: KSerializer<Request>,
        request: Request,
        responseType: KSerializer<Response>,
        isAnswer: (Response) -> Boolean = { true },
    ): StoreResult<Response> {
        callCounter.increment()
        val body = EtcdJson.json.encodeToString(requestType, request).encodeToByteString()
        val result =
            calls.call(address, CallHead("POST", path, CONTENT_TYPE), body, CALL_TIMEOUT) { answer ->
                when (val decoded = decode(answer, responseType)) {
                    is StoreResult.Success -> isAnswer(decoded.value)
                    is StoreResult.Failure -> decoded.reason != StoreFailure.MALFORMED_ANSWER
                }
            }
        return resultOf(result, responseType).also(::reportAvailability)
    }

    private fun reportAvailability(result: StoreResult<*>) {
        when (result) {
            is StoreResult.Success -> if (!available.getAndSet(true)) observations.event(Event.StoreAvailable)

            is StoreResult.Failure -> {
                if (available.getAndSet(false)) observations.event(Event.StoreUnavailable(result.reason))
            }
        }
    }

    private fun <Response> resultOf(
        result: HttpResult,
        responseType: KSerializer<Response>,
    ): StoreResult<Response> =
        when (result) {
            is HttpResult.Answered -> decode(result, responseType)
            HttpResult.OfOtherCall -> StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
            HttpResult.Unreachable -> StoreResult.Failure(StoreFailure.UNREACHABLE)
            HttpResult.TimedOut -> StoreResult.Failure(StoreFailure.TIMED_OUT)
            HttpResult.ConnectionLost -> StoreResult.Failure(StoreFailure.ANSWER_LOST)
            HttpResult.AnswerTooLarge -> StoreResult.Failure(StoreFailure.ANSWER_TOO_LARGE)
        }

    private fun <Response> decode(
        answer: HttpResult.Answered,
        responseType: KSerializer<Response>,
    ): StoreResult<Response> {
        val status = answer.head.status
        if (status == HTTP_SERVICE_UNAVAILABLE) return StoreResult.Failure(StoreFailure.REJECTED)
        if (status != HTTP_OK) return StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
        return try {
            StoreResult.Success(EtcdJson.json.decodeForeign(responseType, answer.body.decodeToString()))
        } catch (_: SerializationException) {
            StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
        }
    }

    private fun swapOutcome(response: TransactionResponse): SwapOutcome {
        if (response.succeeded) return SwapOutcome.Swapped(response.header.revision.toLong())
        val current =
            response.responses
                .firstNotNullOfOrNull { it.range }
                ?.kvs
                ?.firstOrNull()
        return SwapOutcome.Conflict(current?.let(EtcdJson::decodeValue))
    }

    private fun decodeEvents(line: Buffer): List<StoredValue> =
        try {
            EtcdJson.json
                .decodeForeign(ReceivedWatch.serializer(), line.toString())
                .result.events
                .mapNotNull { readable(EtcdJson.decodeEvent(it), it) }
        } catch (_: SerializationException) {
            observations.event(Event.StoredValueUnreadable(excerptOf(line.toString())))
            emptyList()
        }

    /** Returns [decoded]; reports [source] if it could not be decoded. */
    private fun readable(
        decoded: StoredValue?,
        source: JsonElement,
    ): StoredValue? {
        if (decoded == null) observations.event(Event.StoredValueUnreadable(excerptOf(source.toString())))
        return decoded
    }

    private fun excerptOf(text: String): String = text.take(MAXIMUM_EXCERPT)

    private fun <Value, Mapped> StoreResult<Value>.map(transform: (Value) -> Mapped): StoreResult<Mapped> =
        when (this) {
            is StoreResult.Failure -> this
            is StoreResult.Success -> decodeFields(value, transform)
        }

    /** Applies [transform], which fails on malformed numbers or base64 text in otherwise valid JSON. */
    private fun <Value, Mapped> decodeFields(
        value: Value,
        transform: (Value) -> Mapped,
    ): StoreResult<Mapped> =
        try {
            StoreResult.Success(transform(value))
        } catch (_: IllegalArgumentException) {
            StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
        }

    private companion object {
        val CALL_TIMEOUT: Duration = 2.seconds
        val CONTENT_TYPE = persistentListOf(HeaderField("Content-Type", "application/json"))
        const val MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024 // a list of stored answers
        const val MAXIMUM_LINE_BYTES = 8 * 1024 * 1024
        const val MAXIMUM_EXCERPT = 120
        const val HTTP_OK = 200
        const val HTTP_SERVICE_UNAVAILABLE = 503
    }
}
