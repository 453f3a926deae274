package org.acaciaflow.coordination.port

/** Outcome of a compare-and-swap that the store answered. */
sealed interface SwapOutcome {
    /** Written; the key is now at [revision]. */
    data class Swapped(
        val revision: Long,
    ) : SwapOutcome

    /** Not written because the key was at another revision; [current] is null when the key is absent. */
    data class Conflict(
        val current: StoredValue?,
    ) : SwapOutcome
}
