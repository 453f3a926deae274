package org.acaciaflow.state.prompt

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/** A part that an engine is believed to hold. */
data class CachedPart(
    val tokens: Int,
    val usedAt: Instant,
)

/** The prompt parts that one engine is believed to hold, and their [tokens] in all. */
data class PromptCache(
    val parts: PersistentMap<Long, CachedPart>,
    val tokens: Long,
) {
    companion object {
        val EMPTY = PromptCache(persistentMapOf(), tokens = 0)
    }
}
