package org.acaciaflow.state.store

/** Names one history of the store's keys; a store that returns from an older copy begins another history. */
sealed interface StoreEra {
    /** The [number] rises with each return of the store. */
    data class Numbered(
        val number: Long,
    ) : StoreEra

    /** The store names no era. */
    data object Unknown : StoreEra
}
