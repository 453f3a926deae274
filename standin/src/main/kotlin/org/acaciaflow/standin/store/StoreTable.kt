package org.acaciaflow.standin.store

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The content of the stand-in store: values by base64 key text decoded to a plain path, and its revision. */
internal data class StoreTable(
    val revision: Long,
    val entries: PersistentMap<String, StoreEntry>,
    val leases: PersistentMap<Long, StoreLease>,
) {
    /** Writes a key as of the next revision. */
    fun put(
        key: String,
        value: String,
        lease: Long?,
    ): StoreTable {
        val next = revision + 1
        return copy(revision = next, entries = entries.put(key, StoreEntry(value, next, lease)))
    }

    /** Removes leases that have lapsed as of [nowMilliseconds], with the keys attached to them. */
    fun withoutLapsed(nowMilliseconds: Long): StoreTable {
        val lapsed = leases.filterValues { it.expiresAtMilliseconds <= nowMilliseconds }.keys
        if (lapsed.isEmpty()) return this
        val gone = entries.filterValues { it.lease in lapsed }.keys
        return copy(
            revision = revision + 1,
            entries = gone.fold(entries) { left, key -> left.remove(key) },
            leases = lapsed.fold(leases) { left, lease -> left.remove(lease) },
        )
    }

    /** Entries with `from <= key < until`, in key order. */
    fun range(
        from: String,
        until: String?,
    ): List<Map.Entry<String, StoreEntry>> =
        when (until) {
            null -> entries.entries.filter { it.key == from }
            else -> entries.entries.filter { it.key >= from && it.key < until }.sortedBy { it.key }
        }

    companion object {
        val EMPTY = StoreTable(revision = 1, entries = persistentMapOf(), leases = persistentMapOf())
    }
}

/** A value, the revision of its last write and the lease it hangs on. */
internal data class StoreEntry(
    val value: String,
    val revision: Long,
    val lease: Long?,
)

/** A lease with its time to live. */
internal data class StoreLease(
    val timeToLiveSeconds: Long,
    val expiresAtMilliseconds: Long,
)
