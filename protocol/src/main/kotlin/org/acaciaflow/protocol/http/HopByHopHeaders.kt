package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.work.HeaderField

/** Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
object HopByHopHeaders {
    private val NAMES =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )

    /** The fields without hop-by-hop headers and without those that the Connection header names. */
    fun removedFrom(fields: List<HeaderField>): PersistentList<HeaderField> {
        val listed = fields.filter { it.name.equals("connection", ignoreCase = true) }.flatMap { names(it.value) }
        val dropped = NAMES + listed
        return fields.filterNot { it.name.lowercase() in dropped }.toPersistentList()
    }

    private fun names(value: String): List<String> = value.split(',').map { it.trim().lowercase() }
}
