package org.acaciaflow.daemon

import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** A backend server of a plain service that registers as [instance] and counts the requests that reach it. */
internal class ServiceServer(
    val instance: String,
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { Thread(it, instance).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG)

    /** The requests that have reached this server. */
    val requests = AtomicInteger()

    /** The status of the next answers, and what they carry besides the usual headers. */
    @Volatile
    var status = 200

    @Volatile
    var headers: List<Pair<String, String>> = emptyList()

    init {
        server.executor = threads
        server.createContext("/") { exchange ->
            exchange.requestBody.readAllBytes()
            requests.incrementAndGet()
            exchange.responseHeaders.add("Request-Id", exchange.requestHeaders.getFirst("Request-Id"))
            exchange.responseHeaders.add("Server-Stamp", "stamp.$instance")
            headers.forEach { (name, value) -> exchange.responseHeaders.add(name, value) }
            exchange.sendResponseHeaders(status, BODY.size.toLong())
            exchange.responseBody.use { it.write(BODY) }
        }
        server.start()
    }

    /** The entry of this server in the store. */
    fun entry(
        state: String = "ready",
        startedAt: Long = STARTED_AT,
    ): String =
        """{"service":"register","address":"127.0.0.1:${server.address.port}","zone":"suba","version":"v1",""" +
            """"slots":8,"state":"$state","cold_remaining_ms":0,"born":$startedAt,"sequence":1}"""

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    companion object {
        const val STARTED_AT = 1_764_000_000_000L
        private const val BACKLOG = 64
        private val BODY = "answer".toByteArray()
    }
}
