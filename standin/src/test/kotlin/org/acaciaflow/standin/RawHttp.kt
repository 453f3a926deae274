package org.acaciaflow.standin

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.acaciaflow.state.identity.HostAddress
import java.io.InputStream
import java.net.Socket

/** Sends hand-written HTTP over a socket, so that a test controls every byte and the timing of each write. */
internal object RawHttp {
    private const val READ_TIMEOUT_MILLISECONDS = 10_000

    suspend fun get(
        address: HostAddress,
        target: String,
    ): String = exchange(address, "GET $target HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")

    /** Sends [request] and returns everything received until the connection closes. */
    suspend fun exchange(
        address: HostAddress,
        request: String,
    ): String =
        withContext(Dispatchers.IO) {
            open(address).use { socket ->
                socket.getOutputStream().write(request.encodeToByteArray())
                socket.getInputStream().readBytes().decodeToString()
            }
        }

    fun open(address: HostAddress): Socket =
        Socket(address.ip, address.port).also { it.soTimeout = READ_TIMEOUT_MILLISECONDS }

    /** Reads the response head up to and including the empty line, or less if the connection closes early. */
    fun readHead(input: InputStream): String {
        var head = ""
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return head
            head += next.toChar()
        }
        return head
    }
}
