package org.acaciaflow.standin.store

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.KSerializer
import org.acaciaflow.protocol.store.EtcdJson
import org.acaciaflow.protocol.store.KeyValue
import org.acaciaflow.protocol.store.LeaseGrantRequest
import org.acaciaflow.protocol.store.LeaseGrantResponse
import org.acaciaflow.protocol.store.LeaseKeepAliveRequest
import org.acaciaflow.protocol.store.LeaseKeepAliveResponse
import org.acaciaflow.protocol.store.LeaseKeepAliveResult
import org.acaciaflow.protocol.store.RangeRequest
import org.acaciaflow.protocol.store.RangeResponse
import org.acaciaflow.protocol.store.ResponseHeader
import org.acaciaflow.protocol.store.ResponseOperation
import org.acaciaflow.protocol.store.TransactionRequest
import org.acaciaflow.protocol.store.TransactionResponse
import org.acaciaflow.protocol.store.WatchEvent
import org.acaciaflow.protocol.store.WatchRequest
import org.acaciaflow.protocol.store.WatchResponse
import org.acaciaflow.protocol.store.WatchResult
import org.acaciaflow.standin.fault.FaultSwitch
import org.acaciaflow.standin.fault.addFaultRoutes
import org.acaciaflow.state.identity.HostAddress
import kotlin.io.encoding.Base64
import kotlin.time.Clock

/** Stands in for the platform's key-value service; its table belongs to one Vert.x event loop. */
class StoreStandin(
    private val vertx: Vertx,
    private val clock: Clock,
) {
    val faults = FaultSwitch()
    private var table = StoreTable.EMPTY
    private var watchers: Set<Watcher> = emptySet()
    private var lastLease = 0L

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.addFaultRoutes(faults)
        router.route().handler(BodyHandler.create(false))
        router.post(EtcdJson.RANGE_PATH).handler { answer(it, RangeRequest.serializer(), ::range) }
        router.post(EtcdJson.TRANSACTION_PATH).handler { answer(it, TransactionRequest.serializer(), ::transaction) }
        router.post(EtcdJson.LEASE_GRANT_PATH).handler { answer(it, LeaseGrantRequest.serializer(), ::grant) }
        router.post(EtcdJson.LEASE_KEEP_ALIVE_PATH).handler { answer(it, LeaseKeepAliveRequest.serializer(), ::renew) }
        router.post(EtcdJson.WATCH_PATH).handler(::watch)
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.ip)
            .coAwait()
    }

    private fun <Request> answer(
        context: RoutingContext,
        type: KSerializer<Request>,
        effect: (Request) -> String,
    ) {
        val injected = faults.faults
        if (injected.down) {
            return context
                .response()
                .setStatusCode(UNAVAILABLE)
                .end()
                .let { }
        }
        if (injected.delayMilliseconds > 0) {
            vertx.setTimer(injected.delayMilliseconds) { perform(context, type, effect) }
        } else {
            perform(context, type, effect)
        }
    }

    private fun <Request> perform(
        context: RoutingContext,
        type: KSerializer<Request>,
        effect: (Request) -> String,
    ) {
        table = table.withoutExpiredLeases(clock.now().toEpochMilliseconds())
        val body = effect(EtcdJson.json.decodeFromString(type, context.body().asString()))
        if (faults.consumeLostAnswer()) {
            return context
                .request()
                .connection()
                .close()
                .let { }
        }
        context.response().putHeader("content-type", "application/json").end(body)
    }

    private fun range(request: RangeRequest): String =
        EtcdJson.json.encodeToString(RangeResponse.serializer(), rangeResponse(request))

    private fun rangeResponse(request: RangeRequest): RangeResponse {
        val limit = request.limit?.toInt() ?: Int.MAX_VALUE
        val found = table.range(decode(request.key), request.rangeEnd?.let(::decode)).take(limit)
        return RangeResponse(header(), found.map { keyValue(it.key, it.value) })
    }

    private fun transaction(request: TransactionRequest): String {
        val succeeded =
            request.compare.all { (table.entries[decode(it.key)]?.revision ?: 0L) == it.modRevision.toLong() }
        val operations = if (succeeded) request.success else request.failure
        val responses =
            operations.map { operation ->
                operation.put?.let { put(decode(it.key), it.value, it.lease?.toLong()) }
                ResponseOperation(operation.range?.let(::rangeResponse))
            }
        return EtcdJson.json.encodeToString(
            TransactionResponse.serializer(),
            TransactionResponse(header(), succeeded, responses),
        )
    }

    private fun put(
        key: String,
        value: String,
        lease: Long?,
    ) {
        table = table.put(key, value, lease)
        val entry = table.entries.getValue(key)
        val event = WatchResponse(WatchResult(events = listOf(WatchEvent(kv = keyValue(key, entry)))))
        watchers.filter { it.covers(key) }.forEach { it.send(event) }
    }

    private fun grant(request: LeaseGrantRequest): String {
        lastLease += 1
        val seconds = request.timeToLive.toLong()
        table = table.copy(leases = table.leases.put(lastLease, lease(seconds)))
        return EtcdJson.json.encodeToString(
            LeaseGrantResponse.serializer(),
            LeaseGrantResponse(lastLease.toString(), request.timeToLive),
        )
    }

    private fun renew(request: LeaseKeepAliveRequest): String {
        val identity = request.identity.toLong()
        val seconds = table.leases[identity]?.timeToLiveSeconds ?: 0
        if (seconds > 0) table = table.copy(leases = table.leases.put(identity, lease(seconds)))
        val result = LeaseKeepAliveResult(request.identity, seconds.toString())
        return EtcdJson.json.encodeToString(LeaseKeepAliveResponse.serializer(), LeaseKeepAliveResponse(result))
    }

    private fun lease(seconds: Long): StoreLease {
        val expiry = clock.now().toEpochMilliseconds() + seconds * MILLISECONDS_PER_SECOND
        return StoreLease(seconds, expiry)
    }

    private fun watch(context: RoutingContext) {
        if (faults.faults.down) {
            return context
                .response()
                .setStatusCode(UNAVAILABLE)
                .end()
                .let { }
        }
        val request = EtcdJson.json.decodeFromString(WatchRequest.serializer(), context.body().asString())
        val response = context.response().setChunked(true)
        val watcher = Watcher(decode(request.create.key), request.create.rangeEnd?.let(::decode), response)
        watchers = watchers + watcher
        response.closeHandler { watchers = watchers - watcher }
        watcher.send(WatchResponse(WatchResult(created = true)))
    }

    private fun header(): ResponseHeader = ResponseHeader(table.revision.toString())

    private fun keyValue(
        key: String,
        entry: StoreEntry,
    ): KeyValue = KeyValue(Base64.encode(key.encodeToByteArray()), entry.value, entry.revision.toString())

    private fun decode(text: String): String = Base64.decode(text).decodeToString()

    private class Watcher(
        private val from: String,
        private val until: String?,
        private val response: HttpServerResponse,
    ) {
        fun covers(key: String): Boolean = if (until == null) key == from else key >= from && key < until

        fun send(event: WatchResponse) {
            response.write(EtcdJson.json.encodeToString(WatchResponse.serializer(), event) + "\n")
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val MILLISECONDS_PER_SECOND = 1000L
    }
}
