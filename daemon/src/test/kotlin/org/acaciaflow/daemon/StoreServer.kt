package org.acaciaflow.daemon

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.net.URLDecoder
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/**
 * The platform's store: items with revisions, pages of a range, and watches. Leases are granted, writes are refused.
 *
 * The bounds of a page are those of the platform; an answer to a watch has none.
 */
internal class StoreServer : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { Thread(it, "store").apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG)
    private val items = TreeMap<String, String>()
    private val history = mutableListOf<Change>()
    private var revision = 1L
    private var oldestRevision = 0L

    /** While true, watches do not answer, as for a process that is frozen. */
    private var holdsWatches = false

    /** While true, each watch is told that the history is lost. */
    @Volatile
    var forgets = false

    /** While true, reads of keys are refused; watches are answered. */
    @Volatile
    var refusesReads = false

    /** While true, watches are refused; reads of keys are answered. */
    @Volatile
    var refusesWatches = false

    val reads = AtomicInteger()
    val port: Int get() = server.address.port

    init {
        server.executor = threads
        server.createContext("/") { exchange ->
            try {
                handle(exchange)
            } catch (_: InterruptedException) {
                exchange.close()
            }
        }
        server.start()
    }

    fun put(
        key: String,
        value: String,
    ) = putEncoded(key, Base64.getEncoder().encodeToString(value.toByteArray()))

    /** Writes an item whose field `value` is [encoded], whether or not that is Base64 text. */
    @Synchronized
    fun putEncoded(
        key: String,
        encoded: String,
    ) {
        revision += 1
        val item = """{"key":"$key","value":"$encoded","revision":$revision,"create_revision":$revision,"lease":0}"""
        items[key] = item
        history += Change(revision, item)
        (this as Object).notifyAll()
    }

    @Synchronized
    fun remove(key: String) {
        items.remove(key) ?: return
        revision += 1
        history += Change(revision, """{"key":"$key","revision":$revision,"tombstone":true}""")
        (this as Object).notifyAll()
    }

    /** Runs [writes] as one batch: no watch answers before all of them are done. */
    fun together(writes: () -> Unit) {
        hold(true)
        Thread.sleep(HOLD_MILLISECONDS)
        writes()
        hold(false)
    }

    @Synchronized
    private fun hold(held: Boolean) {
        holdsWatches = held
        (this as Object).notifyAll()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun handle(exchange: HttpExchange) {
        exchange.requestBody.readAllBytes()
        val query = queryOf(exchange)
        when (exchange.requestURI.path) {
            "/-/kv-range" -> range(exchange, query)
            "/-/kv-watch" -> watch(exchange, query)
            "/-/kv-key" -> key(exchange, query)
            "/-/kv-lease" -> answer(exchange, 200, """{"lease":1,"ttl_ms":15000}""")
            "/-/kv-txn" -> answer(exchange, 503, "{}")
            else -> answer(exchange, 200, "{}")
        }
    }

    private fun key(
        exchange: HttpExchange,
        query: Map<String, String>,
    ) {
        reads.incrementAndGet()
        val item = synchronized(this) { items[query.getValue("key")]?.dropLast(1)?.plus(""","as_of":$revision}""") }
        if (item == null) answer(exchange, 404, "{}") else answer(exchange, 200, item)
    }

    private fun range(
        exchange: HttpExchange,
        query: Map<String, String>,
    ) {
        reads.incrementAndGet()
        if (refusesReads) answer(exchange, 503, "{}") else answer(exchange, 200, pageOf(query))
    }

    @Synchronized
    private fun pageOf(query: Map<String, String>): String {
        val rest =
            items
                .tailMap(query["after"].orEmpty(), false)
                .filterKeys { it.startsWith(query["prefix"].orEmpty()) }
                .values
                .toList()
        val page = mutableListOf<String>()
        while (page.size < minOf(rest.size, PAGE_ITEMS) &&
            page.sumOf { it.length } < PAGE_BYTES
        ) {
            page += rest[page.size]
        }
        return """{"items":[${page.joinToString(",")}],"has_more":${page.size < rest.size},"as_of":$revision}"""
    }

    private fun watch(
        exchange: HttpExchange,
        query: Map<String, String>,
    ) {
        if (refusesWatches) return answer(exchange, 503, "{}")
        val after = query.getValue("after").toLong()
        when (val changes = awaitChanges(after, query["prefix"].orEmpty(), query.getValue("wait_ms").toLong())) {
            null -> answer(exchange, 410, "{}")
            else -> answer(exchange, 200, changes)
        }
    }

    @Synchronized
    private fun awaitChanges(
        after: Long,
        prefix: String,
        waitMilliseconds: Long,
    ): String? {
        val end = System.nanoTime() + waitMilliseconds * NANOSECONDS_PER_MILLISECOND
        while (true) {
            if (forgets || after < oldestRevision) return null
            val found =
                history
                    .filter {
                        it.revision > after &&
                            it.json.startsWith(
                                "{\"key\":\"$prefix",
                            )
                    }.map { it.json }
            val left = (end - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND
            if (!holdsWatches && (found.isNotEmpty() || left <= 0)) {
                return """{"events":[${found.joinToString(",")}],"as_of":$revision}"""
            }
            (this as Object).wait(left.coerceAtLeast(1))
        }
    }

    private fun answer(
        exchange: HttpExchange,
        status: Int,
        body: String,
    ) {
        val bytes = body.toByteArray()
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    private fun queryOf(exchange: HttpExchange): Map<String, String> =
        exchange.requestURI.rawQuery
            .orEmpty()
            .split('&')
            .filter { '=' in it }
            .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

    private data class Change(
        val revision: Long,
        val json: String,
    )

    private companion object {
        const val BACKLOG = 64
        const val HOLD_MILLISECONDS = 300L
        const val PAGE_ITEMS = 500
        const val PAGE_BYTES = 1_000_000
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
