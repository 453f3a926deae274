package org.acaciaflow.state.prompt

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/** A prompt part presumed to be in an engine's KV cache. */
data class CachedPart(
    val tokens: Int,
    val usedAt: Instant,
)

/** The prompt parts presumed to be in the KV cache of one engine, by key; [tokens] is their total size. */
data class PromptCache(
    val parts: PersistentMap<Long, CachedPart>,
    val tokens: Long,
) {
    companion object {
        val EMPTY = PromptCache(persistentMapOf(), tokens = 0)
    }
}
