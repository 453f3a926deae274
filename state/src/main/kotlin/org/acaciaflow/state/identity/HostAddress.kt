package org.acaciaflow.state.identity

/** An IP address and a TCP port, printed as `ip:port`. */
data class HostAddress(
    val ip: String,
    val port: Int,
) {
    override fun toString(): String = "$ip:$port"
}

/** Parses `ip:port`; null when the address part is empty or the port is not in 1..65535. */
fun parseHostAddress(text: String): HostAddress? {
    val ip = text.substringBeforeLast(':', missingDelimiterValue = "")
    val port = text.substringAfterLast(':').toIntOrNull()
    if (ip.isEmpty() || port == null || port !in 1..MAXIMUM_PORT) return null
    return HostAddress(ip, port)
}

private const val MAXIMUM_PORT = 65_535
