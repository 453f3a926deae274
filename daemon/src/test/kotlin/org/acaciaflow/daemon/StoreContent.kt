package org.acaciaflow.daemon

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** What a [StoreServer] holds at [revision]; its changes are in [history], and the leases that are held in [leases]. */
internal data class StoreContent(
    val revision: Long = 1,
    val items: PersistentMap<String, StoredItem> = persistentMapOf(),
    val history: PersistentList<StoredChange> = persistentListOf(),
    val leases: PersistentSet<Long> = persistentSetOf(),
    val lastLease: Long = 0,
) {
    /** Writes [key], whose field `value` is [encoded], bound to [lease] unless that is 0. */
    fun put(
        key: String,
        encoded: String,
        lease: Long = NO_LEASE,
    ): StoreContent {
        val next = revision + 1
        val item = StoredItem(key, encoded, next, items[key]?.createRevision ?: next, lease)
        return copy(revision = next, items = items.put(key, item), history = history.add(StoredChange(next, item.json)))
    }

    fun remove(key: String): StoreContent {
        if (key !in items) return this
        val next = revision + 1
        val change = StoredChange(next, """{"key":"$key","revision":$next,"tombstone":true}""")
        return copy(revision = next, items = items.remove(key), history = history.add(change))
    }

    /** Grants the next lease, [lastLease] of the result. */
    fun grantLease(): StoreContent = copy(lastLease = lastLease + 1, leases = leases.add(lastLease + 1))

    /** Ends [lease] and removes the keys that are bound to it. */
    fun endLease(lease: Long): StoreContent {
        val bound = items.values.filter { it.lease == lease }.map { it.key }
        return bound.fold(copy(leases = leases.remove(lease))) { rest, key -> rest.remove(key) }
    }

    /** The items under [prefix] behind the key [after], in the order of their keys. */
    fun range(
        prefix: String,
        after: String,
    ): List<StoredItem> =
        items.values
            .filter { it.key.startsWith(prefix) && it.key > after }
            .sortedBy { it.key }

    /** The changes under [prefix] after [after]. */
    fun changes(
        prefix: String,
        after: Long,
    ): List<StoredChange> = history.filter { it.revision > after && it.json.startsWith("{\"key\":\"$prefix") }

    companion object {
        const val NO_LEASE = 0L
    }
}

/** An item as it was written at [revision], of the key that was created at [createRevision]. */
internal data class StoredItem(
    val key: String,
    val encoded: String,
    val revision: Long,
    val createRevision: Long,
    val lease: Long,
) {
    val json: String =
        """{"key":"$key","value":"$encoded","revision":$revision,"create_revision":$createRevision,"lease":$lease}"""
}

/** A change as a watch tells it. */
internal data class StoredChange(
    val revision: Long,
    val json: String,
)
