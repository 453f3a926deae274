package org.acaciaflow.coordination.engine

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.prompt.CachedPart
import org.acaciaflow.state.prompt.PromptCache
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Instant

/** What engines are believed to hold of prompts, from what was sent to them. */
object PromptCaches {
    /** Tokens at the start of [parts] that [cache] holds without a gap. */
    fun cachedTokens(
        cache: PromptCache,
        parts: List<PromptPart>,
    ): Int = parts.takeWhile { it.key in cache.parts }.sumOf { it.tokens }

    /** Notes as of [now] that the engine [life] with room for [capacityTokens] has read [parts]. */
    fun read(
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

    /** Drops the least recently used parts, somewhat more than needed, so that it is seldom called. */
    private fun evicted(
        cache: PromptCache,
        capacityTokens: Long,
    ): PromptCache {
        val wanted = (capacityTokens * KEPT_SHARE).toLong()
        var rest = cache
        for ((key, part) in cache.parts.entries.sortedBy { it.value.usedAt }) {
            if (rest.tokens <= wanted) break
            rest = PromptCache(rest.parts.remove(key), rest.tokens - part.tokens)
        }
        return rest
    }

    private const val KEPT_SHARE = 0.9
}
