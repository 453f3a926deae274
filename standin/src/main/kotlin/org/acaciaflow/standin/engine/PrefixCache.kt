package org.acaciaflow.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Prompt pieces whose KV cache is held, least recently used first. */
internal data class PrefixCache(
    val capacity: Int,
    val pieces: PersistentList<String>,
) {
    private val index: Set<String> by lazy { pieces.toHashSet() }

    /** How many of the leading pieces are held. */
    fun heldPrefix(wanted: List<String>): Int = wanted.takeWhile { it in index }.size

    /** The cache after a prompt with these pieces was read. */
    fun used(read: List<String>): PrefixCache {
        if (read.isEmpty()) return this
        val others = pieces.filterNot { it in read.toHashSet() }
        return copy(pieces = (others + read).takeLast(capacity).toPersistentList())
    }

    /** The most recently used pieces, for another engine to import. */
    fun exported(limit: Int): List<String> = pieces.takeLast(limit)
}
