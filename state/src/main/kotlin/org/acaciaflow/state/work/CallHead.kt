package org.acaciaflow.state.work

import kotlinx.collections.immutable.PersistentList

/** Method, target and headers of a call; [target] holds path and query exactly as sent. */
data class CallHead(
    val method: String,
    val target: String,
    val headers: PersistentList<HeaderField>,
) {
    /** The first value of the header, whatever its case; null when absent. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
