package org.acaciaflow.transport.direct

import org.acaciaflow.state.identity.HostAddress
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * A backend server that writes raw bytes.
 *
 * [script] is run for each request on a connection, with the request's id and its number on this server.
 */
internal class RawBackend(
    private val script: RawBackend.(output: OutputStream, requestId: String, number: Int) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val threads = Executors.newCachedThreadPool()
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val requests = AtomicInteger()

    /** The ids of all requests received. */
    val received = CopyOnWriteArrayList<String>()

    /** The heads of all requests received; each character stands for one byte. */
    val heads = CopyOnWriteArrayList<String>()
    val connections = AtomicInteger()

    /** The ids of the requests received on each connection, in the order in which the connections were opened. */
    val receivedByConnection = CopyOnWriteArrayList<CopyOnWriteArrayList<String>>()

    /** The bytes that [pour] could write before the connection closed. */
    val poured = AtomicLong()
    val address = HostAddress("127.0.0.1", server.localPort)

    init {
        threads.execute {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                sockets += socket
                val carried = CopyOnWriteArrayList<String>().also(receivedByConnection::add)
                threads.execute { serve(socket, carried) }
            }
        }
    }

    /** The id of the request that the connection of [requestId] carried just before it; null if there is none. */
    fun earlierOnConnection(requestId: String): String? =
        receivedByConnection.firstNotNullOfOrNull { carried -> carried.getOrNull(carried.indexOf(requestId) - 1) }

    /** Writes [text] to [output] at once. */
    fun write(
        output: OutputStream,
        text: String,
    ) {
        output.write(text.toByteArray())
        output.flush()
    }

    /** Writes [text] without end, until the other side closes the connection. */
    fun pour(
        output: OutputStream,
        text: String,
    ) {
        val bytes = text.toByteArray()
        while (true) {
            output.write(bytes)
            poured.addAndGet(bytes.size.toLong())
        }
    }

    /** Resets all connections instead of closing them in order. */
    fun resetConnections() =
        sockets.forEach {
            it.setSoLinger(true, 0)
            it.close()
        }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
        threads.shutdownNow()
    }

    private fun serve(
        socket: Socket,
        carried: MutableList<String>,
    ) {
        try {
            socket.use {
                while (true) {
                    val requestId = readRequest(it.getInputStream()) ?: return
                    received += requestId
                    carried += requestId
                    script(it.getOutputStream(), requestId, requests.incrementAndGet())
                }
            }
        } catch (_: IOException) {
            return // the gateway closed the connection
        }
    }

    /** Reads one request without body and returns its id; null at the end of the connection. */
    private fun readRequest(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        heads += head.toString()
        val line = head.lines().firstOrNull { it.startsWith("Request-Id:", ignoreCase = true) }
        return line.orEmpty().substringAfter(':').trim()
    }

    private companion object {
        const val BACKLOG = 50
    }
}
