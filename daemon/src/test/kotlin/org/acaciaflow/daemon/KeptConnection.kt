package org.acaciaflow.daemon

import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** A client's connection to the callers' port [port], which it uses for one call after the other. */
internal class KeptConnection(
    port: Int,
) : AutoCloseable {
    private val socket = Socket(InetAddress.getByName("127.0.0.1"), port)

    /** Sends a call unless the connection has been closed, and waits for its answer. */
    fun call(): CallResult =
        try {
            if (isClosed()) CallResult.CLOSED_BEFORE else send()
        } catch (_: IOException) {
            CallResult.DROPPED
        }

    override fun close() = socket.close()

    private fun isClosed(): Boolean {
        socket.soTimeout = 1
        return try {
            socket.getInputStream().read() < 0
        } catch (_: SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        }
    }

    private fun send(): CallResult {
        socket.soTimeout = ANSWER_TIMEOUT_MILLISECONDS
        socket.getOutputStream().write(REQUEST.toByteArray())
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = socket.getInputStream().read()
            if (next < 0) return CallResult.DROPPED
            head.append(next.toChar())
        }
        return CallResult.ANSWERED
    }

    private companion object {
        const val ANSWER_TIMEOUT_MILLISECONDS = 5_000
        const val REQUEST = "POST /filing HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n"
    }
}

/** How a call on a kept connection ended. */
internal enum class CallResult {
    ANSWERED,

    /** The connection was closed before the call was sent. */
    CLOSED_BEFORE,

    /** The connection ended without an answer. */
    DROPPED,
}
