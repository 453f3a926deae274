package org.acaciaflow.state.identity

/** One life of one process: its address and a number drawn at random when it started. */
data class ProcessIdentity(
    val address: HostAddress,
    val startNumber: Long,
) {
    override fun toString(): String = "$address/${startNumber.toULong().toString(HEXADECIMAL)}"
}

/** Reads the printed form of a process identity; null when it is malformed. */
fun parseProcessIdentity(text: String): ProcessIdentity? {
    val address = parseHostAddress(text.substringBefore('/')) ?: return null
    val startNumber = text.substringAfter('/', "").toULongOrNull(HEXADECIMAL) ?: return null
    return ProcessIdentity(address, startNumber.toLong())
}

private const val HEXADECIMAL = 16
