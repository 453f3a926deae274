package org.acaciaflow.standin.engine

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Publishes changes of the prefix cache [delayMilliseconds] late and drops every [dropEvery]th event. */
internal class CacheEvents(
    private val vertx: Vertx,
    private val delayMilliseconds: Long,
    private val dropEvery: Int,
) {
    private var published: PersistentList<CacheEventDocument> = persistentListOf()
    private var lastNumber = 0L

    /** Records a change of the cache; its event is published after the delay, or dropped. */
    fun record(
        before: PrefixCache,
        after: PrefixCache,
    ) {
        val stored = after.blocks.filterNot { it in before.blocks }
        val removed = before.blocks.filterNot { it in after.blocks }
        if (stored.isEmpty() && removed.isEmpty()) return
        lastNumber += 1
        val event = CacheEventDocument(lastNumber, stored, removed)
        if (event.number % dropEvery == 0L) return
        vertx.setTimer(delayMilliseconds) { published = published.add(event).evictOldest() }
    }

    /** Handles `GET /engine/cache-events?after=NUMBER`: answers the events with a higher number. */
    fun serve(context: RoutingContext) {
        val after = context.queryParam("after").firstOrNull()?.toLongOrNull() ?: 0
        context.end(Json.encodeToString(published.filter { it.number > after }))
    }

    private fun PersistentList<CacheEventDocument>.evictOldest(): PersistentList<CacheEventDocument> =
        if (size > MAXIMUM_EVENTS) removeAt(0) else this

    private companion object {
        const val MAXIMUM_EVENTS = 1000
    }
}

/** One change of the cache; a gap in [number] means that events are missing. */
@Serializable
data class CacheEventDocument(
    val number: Long,
    val stored: List<String>,
    val removed: List<String>,
)
