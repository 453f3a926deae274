package org.acaciaflow.coordination.port

/** One change of one key, made at [revision]. */
sealed interface StoreChange {
    val key: StoreKey
    val revision: Long

    data class Removed(
        override val key: StoreKey,
        override val revision: Long,
    ) : StoreChange
}

/** A key that exists, with the revision at which it was last written. */
sealed interface StoreItem : StoreChange {
    data class Written(
        val value: StoredValue,
    ) : StoreItem {
        override val key: StoreKey
            get() = value.key

        override val revision: Long
            get() = value.revision
    }

    /** A key whose value could not be decoded; other items of the same answer are not affected. */
    data class Unreadable(
        override val key: StoreKey,
        override val revision: Long,
        val fault: DocumentFault,
    ) : StoreItem
}
