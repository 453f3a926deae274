package org.acaciaflow.coordination.engine

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.prompt.CachedPart
import org.acaciaflow.state.prompt.PromptCache
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Instant

/** Estimates which prompt parts each engine has in its KV cache, based on the prompts sent to it. */
object PromptCaches {
    /** Returns the number of tokens in the longest prefix of [parts] that is in [cache]. */
    fun cachedTokens(
        cache: PromptCache,
        parts: List<PromptPart>,
    ): Int = parts.takeWhile { it.key in cache.parts }.sumOf { it.tokens }

    /** Adds [parts], prefilled at [now] by the engine [life], and evicts other parts beyond [capacityTokens]. */
    fun prefilled(
        caches: PersistentMap<BackendLife, PromptCache>,
        life: BackendLife,
        parts: List<PromptPart>,
        capacityTokens: Long,
        now: Instant,
    ): PersistentMap<BackendLife, PromptCache> {
        val grown = parts.fold(caches[life] ?: PromptCache.EMPTY) { cache, part -> added(cache, part, now) }
        return caches.put(life, if (grown.tokens > capacityTokens) evicted(grown, capacityTokens) else grown)
    }

    private fun added(
        cache: PromptCache,
        part: PromptPart,
        now: Instant,
    ): PromptCache {
        val known = cache.parts[part.key]
        val tokens = cache.tokens + part.tokens - (known?.tokens ?: 0)
        return PromptCache(cache.parts.put(part.key, CachedPart(part.tokens, now)), tokens)
    }

    /** Evicts the least recently used parts down to [RETAINED_SHARE] of the capacity, so that evictions are rare. */
    private fun evicted(
        cache: PromptCache,
        capacityTokens: Long,
    ): PromptCache {
        val targetTokens = (capacityTokens * RETAINED_SHARE).toLong()
        var rest = cache
        for ((key, part) in cache.parts.entries.sortedBy { it.value.usedAt }) {
            if (rest.tokens <= targetTokens) break
            rest = PromptCache(rest.parts.remove(key), rest.tokens - part.tokens)
        }
        return rest
    }

    private const val RETAINED_SHARE = 0.9
}
