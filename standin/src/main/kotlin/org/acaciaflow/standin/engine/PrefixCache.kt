package org.acaciaflow.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** An LRU cache of KV blocks, by block key and with the least recently used first. */
internal data class PrefixCache(
    val capacity: Int,
    val blocks: PersistentList<String>,
) {
    private val index: Set<String> by lazy { blocks.toHashSet() }

    /** Number of leading blocks of [wanted] that are cached. */
    fun cachedPrefixLength(wanted: List<String>): Int = wanted.takeWhile { it in index }.size

    /** The cache after the blocks in [read] were used; evicts the least recently used blocks beyond [capacity]. */
    fun used(read: List<String>): PrefixCache {
        if (read.isEmpty()) return this
        val others = blocks.filterNot { it in read.toHashSet() }
        return copy(blocks = (others + read).takeLast(capacity).toPersistentList())
    }

    /** The [limit] most recently used blocks, for another engine to import. */
    fun mostRecent(limit: Int): List<String> = blocks.takeLast(limit)
}
