package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.work.HeaderField

/** Headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1). */
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

    /** Removes the hop-by-hop headers from [fields], including those that a Connection header lists. */
    fun strip(fields: List<HeaderField>): PersistentList<HeaderField> {
        val listed = fields.filter { it.name.equals("connection", ignoreCase = true) }.flatMap { parseNames(it.value) }
        val dropped = NAMES + listed
        return fields.filterNot { it.name.lowercase() in dropped }.toPersistentList()
    }

    private fun parseNames(value: String): List<String> = value.split(',').map { it.trim().lowercase() }
}
