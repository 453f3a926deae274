package org.acaciaflow.state.fleet

import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Instant

/** A lifetime whose entry was missing at [at]; the entry had been written at [lastWrite] or before. */
data class GoneLife(
    val lastWrite: StoreRevision,
    val at: Instant,
)
