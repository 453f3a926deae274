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

/** Stands in for a continuously batching model engine; one Vert.x event loop owns its state. */
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
    private var stepping = false
    private var life = newLife()
    private var down = false
    private var reportedWaitingTokens = 0

    /** How often a request took this engine down. */
    var crashes = 0
        private set

    /** How many calls were broken off by whoever made them. */
    var abandoned = 0
        private set

    /** Calls in progress. */
    val running: Int
        get() = answers.size

    /** What the engine is set to, and how many orders it has taken. */
    fun report(): EngineReportDocument = Json.decodeFromString(EngineReportDocument.serializer(), orders.describe())

    suspend fun start(address: HostAddress): HttpServer {
        val router = Router.router(vertx)
        router.addFaultRoutes(faults)
        router.route().handler { if (down) it.request().connection().close() else it.next() }
        router.get("/health").handler(::health)
        router.get("/standin/crashes").handler { it.end(crashes.toString()) }
        router.get("/engine/cache-events").handler(cacheEvents::serve)
        router.get("/engine/cache").handler(::exportCache)
        router.get("/engine/state").handler { it.end(orders.describe()) }
        router.route().handler(BodyHandler.create(false))
        router.put("/engine/cache").handler(::importCache)
        router.post("/engine/order").handler(orders::take)
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
                .end("not a completion\n")
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
        answers = answers.put(number, EngineAnswer(call, response, faults.takeCutAnswer()))
        response.closeHandler { abandon(number) }
        val before = batch.cache
        batch = batch.added(number, call, profile)
        cacheEvents.note(before, batch.cache)
        if (!stepping) step()
    }

    /** Exports the pieces of the KV cache; `limit` bounds their number. */
    private fun exportCache(context: RoutingContext) {
        val limit = context.queryParam("limit").firstOrNull()?.toIntOrNull() ?: profile.cachePieces
        context.end(Json.encodeToString(batch.cache.exported(limit)))
    }

    /** Imports pieces that another engine exported. */
    private fun importCache(context: RoutingContext) {
        val pieces = Json.decodeFromString<List<String>>(context.body().asString())
        val before = batch.cache
        batch = batch.copy(cache = before.used(pieces))
        cacheEvents.note(before, batch.cache)
        context.end("imported ${pieces.size}\n")
    }

    private fun step() {
        stepping = !batch.idle && !down
        if (!stepping) return
        val step = batch.step(profile)
        batch = step.batch
        val lifeOfStep = life
        vertx.setTimer(step.duration.inWholeMilliseconds.coerceAtLeast(1)) {
            if (life == lifeOfStep) {
                step.advanced.forEach(::emit)
                step()
            }
        }
        reportLater(batch.waitingPromptTokens)
    }

    private fun reportLater(tokens: Int) {
        vertx.setTimer(profile.loadLag.inWholeMilliseconds) { reportedWaitingTokens = tokens }
    }

    private fun emit(sequence: EngineSequence) {
        val answer = answers[sequence.number] ?: return
        if (sequence.prefillLeft == 0 && sequence.call.crashes) return crash()
        answer.advance(sequence)
        if (sequence.done) forget(sequence.number)
    }

    private fun abandon(number: Long) {
        if (number in answers) abandoned += 1
        forget(number)
    }

    private fun forget(number: Long) {
        answers = answers.remove(number)
        batch = batch.removed(number)
    }

    /** Loses everything in progress and comes back as a new life after the restart time. */
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
