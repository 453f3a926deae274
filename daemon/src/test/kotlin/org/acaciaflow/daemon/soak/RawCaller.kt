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

    /** Reads until [part] has come, and fails if the connection ends first or nothing comes for some seconds. */
    fun readUntil(part: String) {
        val text = read(LONGEST_MILLISECONDS) { part in it }
        check(part in text) { "expected $part, but read $text" }
    }

    /** Reads until [count] complete answers have come, or the connection ends, or nothing comes for some seconds. */
    fun readAnswers(count: Int): String = read(LONGEST_MILLISECONDS) { completeAnswers(it) >= count }

    /** Reads until the connection ends, or nothing has come for [quietMilliseconds]. */
    fun readRest(quietMilliseconds: Int = LONGEST_MILLISECONDS): String = read(quietMilliseconds) { false }

    private fun read(
        quietMilliseconds: Int,
        isEnough: (CharSequence) -> Boolean,
    ): String {
        socket.soTimeout = quietMilliseconds
        val text = StringBuilder()
        try {
            while (!isEnough(text)) {
                val next = socket.getInputStream().read()
                if (next < 0) return text.append(ENDED).toString()
                text.append(next.toChar())
            }
            return text.toString()
        } catch (_: SocketTimeoutException) {
            return text.toString()
        } catch (_: IOException) {
            return text.append(RESET).toString()
        }
    }

    private fun completeAnswers(text: CharSequence): Int =
        HEAD_WITH_LENGTH.findAll(text).count { text.length - it.range.last > it.groupValues[1].toInt() } +
            LAST_CHUNK.findAll(text).count()

    override fun close() = socket.close()

    companion object {
        const val ENDED = "<ended>"
        const val RESET = "<reset>"
        private const val LONGEST_MILLISECONDS = 5_000
        private val LAST_CHUNK = Regex("\r\n0\r\n\r\n")
        private val HEAD_WITH_LENGTH = Regex("Content-Length: ([0-9]+)\r\n\r\n")
    }
}
