package org.acaciaflow.transport.process

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.store.StoreKnowledge
import kotlin.time.Instant

/** Describes what a gateway knows of the store, and how old it is. */
internal object StoreStatus {
    /** The line of the readiness answer of a gateway whose knowledge is stale; it still serves with what it knows. */
    fun readinessNotes(
        knowledge: StoreKnowledge,
        now: Instant,
    ): List<String> =
        if (StoreFreshness.isStale(knowledge, now)) {
            listOf("store: no answer for ${StoreFreshness.age(knowledge, now)?.inWholeSeconds} s")
        } else {
            emptyList()
        }

    /** Writes the object `store` of the status page; ages are in milliseconds, null where there was no such moment. */
    fun describe(
        builder: JsonObjectBuilder,
        knowledge: StoreKnowledge,
        now: Instant,
    ) {
        builder.put("revision", knowledge.revision.number)
        builder.put("answered-ms-ago", knowledge.answeredAt?.let { (now - it).inWholeMilliseconds })
        builder.put("read-ms-ago", knowledge.readAt?.let { (now - it).inWholeMilliseconds })
        builder.put("failing-ms", knowledge.failingSince?.let { (now - it).inWholeMilliseconds })
        builder.put("unreadable", knowledge.unreadable)
        builder.put("last-fault", knowledge.lastFault)
    }
}
