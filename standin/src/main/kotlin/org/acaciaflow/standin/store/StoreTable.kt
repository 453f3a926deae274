package org.acaciaflow.standin.store

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Content of the stand-in store: entries by decoded key, leases by identity, and the current revision. */
internal data class StoreTable(
    val revision: Long,
    val entries: PersistentMap<String, StoreEntry>,
    val leases: PersistentMap<Long, StoreLease>,
) {
    /** Writes a key and increments the revision. */
    fun put(
        key: String,
        value: String,
        lease: Long?,
    ): StoreTable {
        val next = revision + 1
        return copy(revision = next, entries = entries.put(key, StoreEntry(value, next, lease)))
    }

    /** Removes the leases that have expired at [nowMilliseconds], and the keys that are attached to them. */
    fun withoutExpiredLeases(nowMilliseconds: Long): StoreTable {
        val expired = leases.filterValues { it.expiresAtMilliseconds <= nowMilliseconds }.keys
        if (expired.isEmpty()) return this
        val removed = entries.filterValues { it.lease in expired }.keys
        return copy(
            revision = revision + 1,
            entries = removed.fold(entries) { kept, key -> kept.remove(key) },
            leases = expired.fold(leases) { kept, lease -> kept.remove(lease) },
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

/** A value in base64, the revision of its last write and the lease it is attached to. */
internal data class StoreEntry(
    val value: String,
    val revision: Long,
    val lease: Long?,
)

/** A lease with its time to live and its expiry in epoch time. */
internal data class StoreLease(
    val timeToLiveSeconds: Long,
    val expiresAtMilliseconds: Long,
)
