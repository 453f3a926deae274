package org.acaciaflow.daemon

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** A request that reached a [ScriptedServer], the [sending]th one with its id there. */
internal data class Arrival(
    val requestId: String,
    val sending: Int,
)

/**
 * A backend server that registers as [instance] and whose answers are written by [script].
 *
 * The script gets a request and those that its connection carried before; it returns the bytes to write, with a pause
 * of [pauseMilliseconds] between one element and the next. [END_OF_CONNECTION] as the last element closes the connection.
 */
internal class ScriptedServer(
    val instance: String,
    private val pauseMilliseconds: Long = PAUSE_MILLISECONDS,
    private val script: (Arrival, List<Arrival>) -> List<String>,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val threads = Executors.newCachedThreadPool { Thread(it, instance).apply { isDaemon = true } }
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The ids of all requests that this server has read. */
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
        val earlier = mutableListOf<Arrival>()
        try {
            socket.use {
                while (true) {
                    val requestId = readRequest(it.getInputStream()) ?: return
                    executed += requestId
                    val arrival = Arrival(requestId, executed.count { id -> id == requestId })
                    script(arrival, earlier.toList()).forEachIndexed { index, text ->
                        if (index > 0) Thread.sleep(pauseMilliseconds)
                        if (text == END_OF_CONNECTION) return
                        it.getOutputStream().write(text.toByteArray())
                    }
                    earlier += arrival
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

    companion object {
        const val END_OF_CONNECTION = "<end>"
        private const val BACKLOG = 64
        private const val PAUSE_MILLISECONDS = 80L
    }
}

/** The text of an answer to [requestId] with [status], [stamp] and [fields], whose body is [body]. */
internal fun answerText(
    requestId: String,
    status: Int,
    fields: String = "",
    body: String = "ok",
    stamp: String = "stamp",
): String =
    "HTTP/1.1 $status Answer\r\nRequest-Id: $requestId\r\nServer-Stamp: $stamp\r\n" +
        "${fields}Content-Length: ${body.length}\r\n\r\n$body"
