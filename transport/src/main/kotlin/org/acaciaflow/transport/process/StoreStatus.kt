package org.acaciaflow.transport.process

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.store.StoreEra
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

    private fun numberOf(era: StoreEra?): Long? =
        when (era) {
            is StoreEra.Numbered -> era.number
            StoreEra.Unknown, null -> null
        }

    /**
     * Writes the object `store` of the status page; ages are in milliseconds, null where there was no such
     * moment. The revision is of `revision-era`, the latest answer of `era`; null where the store names none.
     */
    fun describe(
        builder: JsonObjectBuilder,
        knowledge: StoreKnowledge,
        now: Instant,
    ) {
        builder.put("era", numberOf(knowledge.era))
        builder.put("revision", knowledge.revision.number)
        builder.put("revision-era", numberOf(knowledge.revision.era))
        builder.put("answered-ms-ago", knowledge.answeredAt?.let { (now - it).inWholeMilliseconds })
        builder.put("read-ms-ago", knowledge.readAt?.let { (now - it).inWholeMilliseconds })
        builder.put("failing-ms", knowledge.failingSince?.let { (now - it).inWholeMilliseconds })
        builder.put("unreadable", knowledge.unreadable)
        builder.put("last-fault", knowledge.lastFault)
    }
}
