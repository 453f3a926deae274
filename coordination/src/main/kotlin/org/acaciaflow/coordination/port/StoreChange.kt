package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.store.StoreRevision

/** One change of one key, made at [revision]. */
sealed interface StoreChange {
    val key: StoreKey
    val revision: StoreRevision

    data class Removed(
        override val key: StoreKey,
        override val revision: StoreRevision,
    ) : StoreChange
}

/** A key that exists, with the revision at which it was last written. */
sealed interface StoreItem : StoreChange {
    data class Written(
        override val key: StoreKey,
        val value: ByteString,
        override val revision: StoreRevision,
    ) : StoreItem

    /** A key whose value could not be decoded; other items of the same answer are not affected. */
    data class Unreadable(
        override val key: StoreKey,
        override val revision: StoreRevision,
        val fault: DocumentFault,
    ) : StoreItem
}
