package org.acaciaflow.standin.engine

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Publishes which prompt pieces the cache holds, some time after the fact and with every so-manieth event missing. */
internal class CacheEvents(
    private val vertx: Vertx,
    private val delayMilliseconds: Long,
    private val dropEvery: Int,
) {
    private var published: PersistentList<CacheEventDocument> = persistentListOf()
    private var lastNumber = 0L

    /** Notes a change of the cache; its event is published later, or never. */
    fun note(
        before: PrefixCache,
        after: PrefixCache,
    ) {
        val stored = after.pieces.filterNot { it in before.pieces }
        val removed = before.pieces.filterNot { it in after.pieces }
        if (stored.isEmpty() && removed.isEmpty()) return
        lastNumber += 1
        val event = CacheEventDocument(lastNumber, stored, removed)
        if (event.number % dropEvery == 0L) return
        vertx.setTimer(delayMilliseconds) { published = published.add(event).takeLast() }
    }

    /** `GET /engine/cache-events?after=NUMBER`. */
    fun serve(context: RoutingContext) {
        val after = context.queryParam("after").firstOrNull()?.toLongOrNull() ?: 0
        context.end(Json.encodeToString(published.filter { it.number > after }))
    }

    private fun PersistentList<CacheEventDocument>.takeLast(): PersistentList<CacheEventDocument> =
        if (size > KEPT_EVENTS) removeAt(0) else this

    private companion object {
        const val KEPT_EVENTS = 1000
    }
}

/** One change of the cache; a missing [number] is a gap. */
@Serializable
data class CacheEventDocument(
    val number: Long,
    val stored: List<String>,
    val removed: List<String>,
)
