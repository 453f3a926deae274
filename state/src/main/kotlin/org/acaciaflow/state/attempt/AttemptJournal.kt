package org.acaciaflow.state.attempt

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity

/**
 * The attempts of non-idempotent requests that one sidecar life knows, oldest first.
 *
 * Entries above [capacity] are forgotten. [forgottenUpTo] keeps the highest forgotten sequence of each process, so
 * that a forgotten attempt is neither started again nor called never started.
 */
data class AttemptJournal(
    val entries: PersistentMap<AttemptIdentity, AttemptProgress>,
    val forgottenUpTo: PersistentMap<ProcessIdentity, Long>,
    val capacity: Int,
) {
    /** True when the attempt may have been known once. */
    fun mayBeForgotten(attempt: AttemptIdentity): Boolean {
        val highest = forgottenUpTo[attempt.process] ?: return false
        return attempt.sequence <= highest && attempt !in entries
    }

    /** Notes the progress of an attempt; a new entry may push the oldest finished one out. */
    fun noted(
        attempt: AttemptIdentity,
        progress: AttemptProgress,
    ): AttemptJournal = copy(entries = entries.put(attempt, progress)).trimmed()

    private fun trimmed(): AttemptJournal {
        if (entries.size <= capacity) return this
        val oldest = entries.entries.firstOrNull { it.value != AttemptProgress.Started }?.key ?: return this
        val highest = maxOf(oldest.sequence, forgottenUpTo[oldest.process] ?: 0L)
        return copy(
            entries = entries.remove(oldest),
            forgottenUpTo = forgottenUpTo.put(oldest.process, highest),
        )
    }

    companion object {
        fun empty(capacity: Int): AttemptJournal = AttemptJournal(persistentMapOf(), persistentMapOf(), capacity)
    }
}
