package org.acaciaflow.daemon

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/**
 * Passes calls on to the server at [targetPort], and writes each answer twice.
 *
 * The second copy comes when the next call of its connection is in, before the answer to that one.
 */
internal class RepeatingProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val threads = Executors.newCachedThreadPool { Thread(it, "proxy").apply { isDaemon = true } }
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    val connections = AtomicInteger()
    val calls = AtomicInteger()

    /** The answers written a second time. */
    val copies = AtomicInteger()
    val port: Int get() = server.localPort

    init {
        threads.execute {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets += socket
                connections.incrementAndGet()
                threads.execute { serve(socket) }
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
        threads.shutdownNow()
    }

    private fun serve(socket: Socket) {
        try {
            socket.use {
                var earlier: ByteArray? = null
                while (true) {
                    val request = readRequest(it.getInputStream()) ?: return
                    calls.incrementAndGet()
                    earlier?.let { copy ->
                        copies.incrementAndGet()
                        it.getOutputStream().write(copy)
                        Thread.sleep(AFTER_COPY_MILLISECONDS)
                    }
                    val answer = answerTo(request)
                    it.getOutputStream().write(answer)
                    earlier = answer
                }
            }
        } catch (_: IOException) {
            return // one side closed its connection
        }
    }

    private fun readRequest(input: InputStream): HttpRequest? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        val (method, target) = head.lines().first().split(' ')
        val length = head.lines().firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
        val body = input.readNBytes(length?.substringAfter(':')?.trim()?.toInt() ?: 0)
        return HttpRequest
            .newBuilder(URI("http://127.0.0.1:$targetPort$target"))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build()
    }

    private fun answerTo(request: HttpRequest): ByteArray {
        val answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray())
        val head = "HTTP/1.1 ${answer.statusCode()} Status\r\nContent-Length: ${answer.body().size}\r\n\r\n"
        return head.toByteArray() + answer.body()
    }

    private companion object {
        const val BACKLOG = 64
        const val AFTER_COPY_MILLISECONDS = 80L
    }
}
