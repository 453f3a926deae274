package org.acaciaflow.coordination.store

import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision

/** The revision [number] of the era that is called [era], or of a store that names none. */
internal fun revisionAt(
    number: Long,
    era: Long? = null,
): StoreRevision = StoreRevision(eraOf(era), number)

internal fun eraOf(number: Long?): StoreEra = if (number == null) StoreEra.Unknown else StoreEra.Numbered(number)
