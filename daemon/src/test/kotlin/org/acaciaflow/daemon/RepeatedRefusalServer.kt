package org.acaciaflow.daemon

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/**
 * A faulty backend server that registers as [instance]: before each answer it writes an earlier refusal once more.
 *
 * [refusalFields] are the header lines of that refusal.
 */
internal class RepeatedRefusalServer(
    val instance: String,
    private val refusalFields: String,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val threads = Executors.newCachedThreadPool { Thread(it, instance).apply { isDaemon = true } }
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The ids of all requests that this server has run. */
    val executed = CopyOnWriteArrayList<String>()

    init {
        threads.execute {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets += socket
                threads.execute { serve(socket) }
            }
        }
    }

    /** The entry of this server in the store. */
    val entry: String
        get() =
            """{"service":"register","address":"127.0.0.1:${server.localPort}","zone":"suba","version":"v1",""" +
                """"slots":8,""" +
                """"state":"ready","cold_remaining_ms":0,"born":1764000000000,"sequence":1}"""

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
        threads.shutdownNow()
    }

    private fun serve(socket: Socket) {
        try {
            socket.use {
                while (true) {
                    val requestId = readRequest(it.getInputStream()) ?: return
                    executed += requestId
                    val refusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n${refusalFields}Content-Length: 0\r\n\r\n"
                    val fields = "Request-Id: $requestId\r\nServer-Stamp: s\r\nContent-Length: 2\r\n"
                    val head = "HTTP/1.1 200 OK\r\n$fields\r\n"
                    it.getOutputStream().write("$refusal${head}ok".toByteArray())
                }
            }
        } catch (_: IOException) {
            return // the gateway closed the connection
        }
    }

    /** Reads one request and its body, and returns its id; null at the end of the connection. */
    private fun readRequest(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        input.readNBytes(field(head, "Content-Length").toIntOrNull() ?: 0)
        return field(head, "Request-Id")
    }

    private fun field(
        head: CharSequence,
        name: String,
    ): String =
        head
            .lines()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            .orEmpty()
            .substringAfter(':')
            .trim()

    private companion object {
        const val BACKLOG = 64
    }
}
