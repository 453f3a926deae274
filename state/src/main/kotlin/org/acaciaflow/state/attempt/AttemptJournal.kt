package org.acaciaflow.state.attempt

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity

/**
 * The attempts of non-idempotent requests recorded during one sidecar lifetime, oldest first.
 *
 * Above [capacity] the oldest finished entry is evicted; started attempts are never evicted. [evictedUpTo] keeps the
 * highest evicted sequence number of each process, so that an evicted attempt is neither started again nor reported as
 * never started.
 */
data class AttemptJournal(
    val entries: PersistentMap<AttemptIdentity, AttemptProgress>,
    val evictedUpTo: PersistentMap<ProcessIdentity, Long>,
    val capacity: Int,
) {
    /** True if [attempt] has no entry but may have had one that was evicted. */
    fun mayHaveBeenEvicted(attempt: AttemptIdentity): Boolean {
        val highest = evictedUpTo[attempt.process] ?: return false
        return attempt.sequence <= highest && attempt !in entries
    }

    /** Records the progress of an attempt; a new entry may evict the oldest finished one. */
    fun withProgress(
        attempt: AttemptIdentity,
        progress: AttemptProgress,
    ): AttemptJournal = copy(entries = entries.put(attempt, progress)).withinCapacity()

    private fun withinCapacity(): AttemptJournal {
        if (entries.size <= capacity) return this
        val oldest = entries.entries.firstOrNull { it.value != AttemptProgress.Started }?.key ?: return this
        val highest = maxOf(oldest.sequence, evictedUpTo[oldest.process] ?: 0L)
        return copy(
            entries = entries.remove(oldest),
            evictedUpTo = evictedUpTo.put(oldest.process, highest),
        )
    }

    companion object {
        fun empty(capacity: Int): AttemptJournal = AttemptJournal(persistentMapOf(), persistentMapOf(), capacity)
    }
}
