package org.acaciaflow.state.record

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.HeaderField

/** A complete answer of a backend server, kept so that a repeated call gets the same answer. */
data class StoredAnswer(
    val status: Int,
    val headers: PersistentList<HeaderField>,
    val body: ByteString,
)
