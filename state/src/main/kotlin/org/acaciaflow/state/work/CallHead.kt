package org.acaciaflow.state.work

import kotlinx.collections.immutable.PersistentList

/** The HTTP method, target and headers of a call; [target] is the path and query exactly as sent. */
data class CallHead(
    val method: String,
    val target: String,
    val headers: PersistentList<HeaderField>,
) {
    /** The first value of the header [name], ignoring case; null if absent. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
