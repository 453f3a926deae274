package org.acaciaflow.daemon.soak

import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** A connection to a soak server without a gateway, which sends requests as text and reads all bytes that come. */
internal class RawCaller(
    server: SoakServer,
) : AutoCloseable {
    private val socket = Socket(InetAddress.getByName("127.0.0.1"), server.address.substringAfter(':').toInt())

    /** Sends a request with [fields] and a body with its length. */
    fun send(
        requestId: String,
        body: String = "claim",
        fields: List<String> = emptyList(),
        target: String = "/claims/1",
    ) = sendText(
        (listOf("POST $target HTTP/1.1", "Request-Id: $requestId", "Content-Length: ${body.length}") + fields)
            .joinToString("\r\n", postfix = "\r\n\r\n$body"),
    )

    fun sendText(text: String) = socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))

    /** Reads until nothing more has come for [quietMilliseconds] or the connection ends. */
    fun read(quietMilliseconds: Int = QUIET_MILLISECONDS): String {
        socket.soTimeout = quietMilliseconds
        val text = StringBuilder()
        try {
            while (true) {
                val next = socket.getInputStream().read()
                if (next < 0) return text.append(ENDED).toString()
                text.append(next.toChar())
            }
        } catch (_: SocketTimeoutException) {
            return text.toString()
        } catch (_: IOException) {
            return text.append(RESET).toString()
        }
    }

    override fun close() = socket.close()

    companion object {
        const val ENDED = "<ended>"
        const val RESET = "<reset>"
        private const val QUIET_MILLISECONDS = 150
    }
}
