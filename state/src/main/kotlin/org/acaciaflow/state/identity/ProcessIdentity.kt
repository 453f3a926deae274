package org.acaciaflow.state.identity

/**
 * Identifies one lifetime of a process.
 *
 * [startNumber] is drawn at random at start, so that a restarted process at the same [address] has a new identity.
 */
data class ProcessIdentity(
    val address: HostAddress,
    val startNumber: Long,
) {
    override fun toString(): String = "$address/${startNumber.toULong().toString(HEXADECIMAL)}"
}

/** Parses the output of [ProcessIdentity.toString]; null when [text] is malformed. */
fun parseProcessIdentity(text: String): ProcessIdentity? {
    val address = parseHostAddress(text.substringBefore('/')) ?: return null
    val startNumber = text.substringAfter('/', "").toULongOrNull(HEXADECIMAL) ?: return null
    return ProcessIdentity(address, startNumber.toLong())
}

private const val HEXADECIMAL = 16
