package org.acaciaflow.daemon

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/**
 * A backend server of [version] that registers as [instance] and streams [EVENTS] events, one each [pauseMilliseconds].
 *
 * Each event names the version. If [breaksOff], each stream that is not gone on with ends behind its fourth event. Each
 * answer falls silent for [silenceMilliseconds] behind its fourth event.
 */
internal class VersionedServer(
    val instance: String,
    version: String,
    private val pauseMilliseconds: Long,
    private val breaksOff: Boolean,
    private val silenceMilliseconds: Long = 0,
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { Thread(it, instance).apply { isDaemon = true } }
    private var server = started(InetSocketAddress("127.0.0.1", 0))

    @Volatile
    var version = version
        private set

    /** Ends all streams and starts again at the same address with the software version [next]. */
    fun restartAs(next: String) {
        val address = server.address
        server.stop(0)
        version = next
        server = started(address)
    }

    private fun started(address: InetSocketAddress): HttpServer {
        val server = HttpServer.create(address, BACKLOG)
        server.executor = threads
        server.createContext("/", ::stream)
        server.start()
        return server
    }

    /** The entry of this server's present life in the store. */
    val entry: String
        get() =
            """{"service":"writer","address":"127.0.0.1:${server.address.port}","zone":"suba","version":"$version",""" +
                """"slots":64,"state":"ready","cold_remaining_ms":0,"born":1764000000000,"sequence":1}"""

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun stream(exchange: HttpExchange) {
        val version = version
        exchange.requestBody.readAllBytes()
        val last = exchange.requestHeaders.getFirst("Last-Event-Id")?.toInt()
        exchange.responseHeaders.add("Request-Id", exchange.requestHeaders.getFirst("Request-Id"))
        exchange.responseHeaders.add("Server-Stamp", "stamp.$instance")
        exchange.responseHeaders.add("Content-Type", "text/event-stream")
        exchange.sendResponseHeaders(OK, CHUNKED)
        for (number in (last ?: 0) + 1..EVENTS) {
            exchange.responseBody.write("id: $number\ndata: $version\n\n".toByteArray())
            exchange.responseBody.flush()
            Thread.sleep(pauseMilliseconds)
            if (breaksOff && last == null && number == BREAKS_BEHIND) throw IOException("the server breaks off")
            if (number == (last ?: 0) + BREAKS_BEHIND) Thread.sleep(silenceMilliseconds)
        }
        exchange.close()
    }

    companion object {
        const val EVENTS = 20
        private const val BREAKS_BEHIND = 4
        private const val OK = 200
        private const val CHUNKED = 0L
        private const val BACKLOG = 256
    }
}
