package org.acaciaflow.state.stream

import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Instant

/**
 * The base of a pool or of a host as a gateway knows it: [base], null if its document can't be read.
 *
 * The document was written at [revision] and reached this gateway in its era at [since]. [outlastedReturn] is true if it
 * was the same before the store last returned from a copy.
 */
data class Lineage<out Base : StreamBase>(
    val base: Base?,
    val revision: StoreRevision,
    val since: Instant,
    val outlastedReturn: Boolean,
)
