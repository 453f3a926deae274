package org.acaciaflow.coordination.store

import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Instant

/** All changes up to [revision] are applied; [lost] if those after it could not be had. */
internal data class StorePlace(
    val revision: StoreRevision,
    val nextReadAt: Instant,
    val lost: Boolean,
) {
    /**
     * True if changes are to be followed from here after [read], which is not complete.
     *
     * Where the store broke off the read in another era than this place, asking from here makes all keys be read at once.
     */
    fun outlasts(read: FullRead): Boolean =
        when {
            read.complete -> false
            read.revision?.era == revision.era -> !lost
            else -> !read.available
        }
}

/** Outcome of a read of all keys; [revision] is the lowest of the sections that were read, null if there was none. */
internal data class FullRead(
    val revision: StoreRevision?,
    val complete: Boolean,
    val available: Boolean,
)

/** Where following ended, whether it brought any change, and whether it ended since the store is in another era. */
internal data class FollowedChanges(
    val place: StorePlace,
    val changed: Boolean,
    val returned: Boolean,
) {
    /** The number of reads in a row without an answer to a watch, which was [reads] before. */
    fun readsAfter(reads: Int): Int =
        when {
            !place.lost || returned -> 0
            changed -> 1
            else -> reads + 1
        }
}
