package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString

/** A value with the revision at which it was last written. */
data class StoredValue(
    val key: StoreKey,
    val value: ByteString,
    val revision: Long,
)
