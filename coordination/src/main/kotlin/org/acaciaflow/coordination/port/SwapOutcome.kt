package org.acaciaflow.coordination.port

/** Outcome of a compare-and-swap that the store answered. */
sealed interface SwapOutcome {
    /** Written; the key is now at [revision]. */
    data class Swapped(
        val revision: Long,
    ) : SwapOutcome

    /** Not written, since the key was at another revision; [current] is null when it is absent. */
    data class Conflict(
        val current: StoredValue?,
    ) : SwapOutcome
}
