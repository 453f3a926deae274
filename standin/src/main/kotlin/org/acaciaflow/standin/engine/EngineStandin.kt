package org.acaciaflow.standin.engine

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.acaciaflow.protocol.engine.EngineReportDocument
import org.acaciaflow.protocol.http.EngineHeaders
import org.acaciaflow.standin.fault.FaultSwitch
import org.acaciaflow.standin.fault.addFaultRoutes
import org.acaciaflow.state.identity.HostAddress
import kotlin.random.Random

/** Stands in for a model engine with continuous batching; its state belongs to one Vert.x event loop. */
class EngineStandin(
    private val vertx: Vertx,
    private val name: String,
    private val profile: EngineProfile,
    checksFencing: Boolean,
) {
    val faults = FaultSwitch()
    private val orders = EngineOrders(vertx, profile, checksFencing, faults)
    private val cacheEvents =
        CacheEvents(vertx, profile.cacheEventDelay.inWholeMilliseconds, profile.cacheEventDropEvery)
    private var batch = EngineBatch.empty(profile)
    private var answers: PersistentMap<Long, EngineAnswer> = persistentMapOf()
    private var lastNumber = 0L

    /** The number of generations accepted so far. */
    val acceptedCalls: Long
        get() = lastNumber
    private var stepping = false
    private var life = newLife()
    private var down = false
    private var reportedWaitingTokens = 0

    /** Number of crashes of this engine. */
    var crashes = 0
        private set

    /** Number of calls whose connection closed before their answer was complete, crashes aside. */
    var cancelledCalls = 0
        private set

    /** Number of calls in progress. */
    val running: Int
        get() = answers.size

    /** The engine's current state, fencing number and order counts. */
    fun report(): EngineReportDocument = Json.decodeFromString(EngineReportDocument.serializer(), orders.reportJson())

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.addFaultRoutes(faults)
        router.route().handler { if (down) it.request().connection().close() else it.next() }
        router.get("/health").handler(::health)
        router.get("/standin/crashes").handler { it.end(crashes.toString()) }
        router.get("/engine/cache-events").handler(cacheEvents::serve)
        router.get("/engine/cache").handler(::exportCache)
        router.get("/engine/state").handler { it.end(orders.reportJson()) }
        router.route().handler(BodyHandler.create(false))
        router.put("/engine/cache").handler(::importCache)
        router.post("/engine/order").handler(orders::accept)
        router.post("/v1/completions").handler { complete(it, chat = false) }
        router.post("/v1/chat/completions").handler { complete(it, chat = true) }
        return vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.ip)
            .coAwait()
    }

    private fun health(context: RoutingContext) {
        if (faults.faults.down) {
            return context
                .response()
                .setStatusCode(UNAVAILABLE)
                .end()
                .let { }
        }
        context
            .response()
            .putHeader(EngineHeaders.ROLE, orders.role)
            .putHeader(EngineHeaders.LIFE, life)
            .putHeader(EngineHeaders.WAITING_TOKENS, reportedWaitingTokens.toString())
            .end()
    }

    private fun complete(
        context: RoutingContext,
        chat: Boolean,
    ) {
        val request = context.request()
        val call =
            EngineCall.parse(
                text = context.body().asString().orEmpty(),
                chat = chat,
                priority = request.getHeader(EngineHeaders.PRIORITY)?.toIntOrNull() ?: 0,
                resumeFrom = request.getHeader(EngineHeaders.RESUME_FROM_TOKEN)?.toIntOrNull() ?: 0,
            )
        if (call == null) {
            return context
                .response()
                .setStatusCode(BAD_REQUEST)
                .end("the body is not a completion request\n")
                .let { }
        }
        if (orders.changing) {
            return context
                .response()
                .setStatusCode(UNAVAILABLE)
                .end("changing\n")
                .let { }
        }
        start(context, call)
    }

    private fun start(
        context: RoutingContext,
        call: EngineCall,
    ) {
        lastNumber += 1
        val number = lastNumber
        val response = context.response().putHeader(NAME_HEADER, name)
        answers = answers.put(number, EngineAnswer(call, response, faults.consumeTruncatedAnswer()))
        response.closeHandler { cancel(number) }
        val before = batch.cache
        batch = batch.added(number, call, profile)
        cacheEvents.record(before, batch.cache)
        if (!stepping) step()
    }

    /** Exports the keys of cached KV blocks, at most `limit` of them. */
    private fun exportCache(context: RoutingContext) {
        val limit = context.queryParam("limit").firstOrNull()?.toIntOrNull() ?: profile.cacheBlocks
        context.end(Json.encodeToString(batch.cache.mostRecent(limit)))
    }

    /** Imports the keys of KV blocks that another engine exported. */
    private fun importCache(context: RoutingContext) {
        val blocks = Json.decodeFromString<List<String>>(context.body().asString())
        val before = batch.cache
        batch = batch.copy(cache = before.used(blocks))
        cacheEvents.record(before, batch.cache)
        context.end("imported ${blocks.size}\n")
    }

    private fun step() {
        stepping = !batch.idle && !down
        if (!stepping) return
        val step = batch.step(profile)
        batch = step.batch
        val lifeOfStep = life
        vertx.setTimer(step.duration.inWholeMilliseconds.coerceAtLeast(1)) {
            if (life == lifeOfStep) {
                step.advanced.forEach(::advance)
                step()
            }
        }
        reportWaitingTokensLater(batch.waitingPromptTokens)
    }

    private fun reportWaitingTokensLater(tokens: Int) {
        vertx.setTimer(profile.loadReportDelay.inWholeMilliseconds) { reportedWaitingTokens = tokens }
    }

    private fun advance(sequence: EngineSequence) {
        val answer = answers[sequence.number] ?: return
        if (sequence.prefillLeft == 0 && sequence.call.crashes) return crash()
        answer.advance(sequence)
        if (sequence.done) remove(sequence.number)
    }

    private fun cancel(number: Long) {
        if (number in answers) cancelledCalls += 1
        remove(number)
    }

    private fun remove(number: Long) {
        answers = answers.remove(number)
        batch = batch.removed(number)
    }

    /** Drops all calls and the cache, and accepts connections again as a new life after [EngineProfile.restart]. */
    fun crash() {
        crashes += 1
        down = true
        val broken = answers.values.map { it.response }
        answers = persistentMapOf()
        batch = EngineBatch.empty(profile)
        life = newLife()
        orders.restart()
        stepping = false
        broken.forEach { it.close() }
        vertx.setTimer(profile.restart.inWholeMilliseconds) { down = false }
    }

    private fun HttpServerResponse.close() {
        reset()
    }

    private fun newLife(): String = Random.nextLong().toULong().toString(HEXADECIMAL)

    companion object {
        const val NAME_HEADER = "X-Standin-Name"
        private const val BAD_REQUEST = 400
        private const val UNAVAILABLE = 503
        private const val HEXADECIMAL = 16
    }
}
