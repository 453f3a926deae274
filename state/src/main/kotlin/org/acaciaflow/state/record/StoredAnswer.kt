package org.acaciaflow.state.record

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.HeaderField

/** A whole answer of a backend server, kept so that a resend gets the same one. */
data class StoredAnswer(
    val status: Int,
    val headers: PersistentList<HeaderField>,
    val body: ByteString,
)
