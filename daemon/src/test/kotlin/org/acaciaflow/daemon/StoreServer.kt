package org.acaciaflow.daemon

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.net.URLDecoder
import java.util.Base64
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/**
 * The platform's store: items with revisions, pages of a range, watches, and returns to an older copy.
 *
 * The bounds of a page are those of the platform; an answer to a watch has none. All answers have the header `Store-Era`
 * if [tellsEra]. Calls that write are carried out if [takesWrites]; otherwise they are refused, and leases are granted
 * that nothing is bound to. Leases do not expire.
 */
internal class StoreServer(
    private val tellsEra: Boolean = false,
    private val takesWrites: Boolean = false,
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { Thread(it, "store").apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG)
    private var content = StoreContent()
    private var era = 1L

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

    private var isCutOff = false

    /** The cuts and returns so far; a call that meets one of them gets no answer. */
    private var interruptions = 0

    val reads = AtomicInteger()

    /** The calls that asked to renew a lease. */
    val renewals = AtomicInteger()
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
    ) = change(content.put(key, encoded))

    @Synchronized
    fun remove(key: String) = change(content.remove(key))

    /** What the store holds now, to return to. */
    @Synchronized
    fun copy(): StoreContent = content

    /**
     * Goes on from [copy]: what was written since is gone, its leases too, and their numbers are given out again.
     *
     * The era rises by one, and watches that wait get no answer.
     */
    @Synchronized
    fun returnTo(copy: StoreContent) {
        era += 1
        interruptions += 1
        change(copy)
    }

    /**
     * Cuts the callers off while [action] runs, which may write.
     *
     * Calls that wait or come meanwhile hear nothing until it is over; then their connections are closed.
     */
    fun cutOffDuring(action: () -> Unit) {
        cutOff(true)
        action()
        cutOff(false)
    }

    @Synchronized
    private fun cutOff(begins: Boolean) {
        isCutOff = begins
        interruptions += 1
        (this as Object).notifyAll()
    }

    private fun change(changed: StoreContent) {
        content = changed
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
        val body = exchange.requestBody.readAllBytes().decodeToString()
        val (eraAtStart, interruptionsAtStart) = synchronized(this) { era to interruptions }
        if (awaitEndOfCut()) return exchange.close()
        val answer = answerTo(exchange.requestURI.path, queryOf(exchange), body)
        awaitEndOfCut()
        if (answer == null || synchronized(this) { interruptions } != interruptionsAtStart) return exchange.close()
        if (tellsEra) exchange.responseHeaders.add("Store-Era", eraAtStart.toString())
        val bytes = answer.body.toByteArray()
        exchange.sendResponseHeaders(answer.status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    /** Waits while callers are cut off; true if they were. */
    @Synchronized
    private fun awaitEndOfCut(): Boolean {
        val wasCutOff = isCutOff
        while (isCutOff) (this as Object).wait()
        return wasCutOff
    }

    /** Returns the answer to a call; null if it is cut. */
    private fun answerTo(
        path: String,
        query: Map<String, String>,
        body: String,
    ): StoreAnswer? =
        when (path) {
            "/-/kv-range" -> range(query)
            "/-/kv-watch" -> watch(query)
            "/-/kv-key" -> key(query)
            else -> if (takesWrites) written(path, body) else refused(path)
        }

    private fun refused(path: String): StoreAnswer =
        when (path) {
            "/-/kv-lease" -> StoreAnswer(200, """{"lease":1,"ttl_ms":15000}""")
            "/-/kv-txn" -> StoreAnswer(503)
            else -> StoreAnswer(200)
        }

    @Synchronized
    private fun written(
        path: String,
        body: String,
    ): StoreAnswer {
        val lease = path.substringAfterLast('/').toLongOrNull()
        val (answer, changed) =
            when (path.substringBeforeLast("/$lease")) {
                "/-/kv-lease" ->
                    content.grantLease().let { StoreAnswer(200, """{"lease":${it.lastLease},"ttl_ms":15000}""") to it }
                "/-/kv-keep" -> StoreAnswer(if (lease in content.leases) 200 else 404) to content
                "/-/kv-lease-end" -> StoreAnswer(200) to content.endLease(checkNotNull(lease))
                "/-/kv-txn" -> StoreTransaction(body).runOn(content)
                else -> StoreAnswer(404) to content
            }
        if (path.startsWith("/-/kv-keep/")) renewals.incrementAndGet()
        change(changed)
        return answer
    }

    private fun key(query: Map<String, String>): StoreAnswer {
        reads.incrementAndGet()
        val now = copy()
        val item = now.items[query.getValue("key")]?.json?.dropLast(1) ?: return StoreAnswer(404)
        return StoreAnswer(200, """$item,"as_of":${now.revision}}""")
    }

    private fun range(query: Map<String, String>): StoreAnswer {
        reads.incrementAndGet()
        return if (refusesReads) StoreAnswer(503) else StoreAnswer(200, pageOf(query))
    }

    private fun pageOf(query: Map<String, String>): String {
        val now = copy()
        val rest = now.range(query["prefix"].orEmpty(), query["after"].orEmpty()).map { it.json }
        val page = mutableListOf<String>()
        while (page.size < minOf(rest.size, PAGE_ITEMS) &&
            page.sumOf { it.length } < PAGE_BYTES
        ) {
            page += rest[page.size]
        }
        return """{"items":[${page.joinToString(",")}],"has_more":${page.size < rest.size},"as_of":${now.revision}}"""
    }

    private fun watch(query: Map<String, String>): StoreAnswer? {
        if (refusesWatches) return StoreAnswer(503)
        val after = query.getValue("after").toLong()
        return awaitChanges(after, query["prefix"].orEmpty(), query.getValue("wait_ms").toLong())
    }

    /** Returns the answer to a watch; null if it is cut. */
    @Synchronized
    private fun awaitChanges(
        after: Long,
        prefix: String,
        waitMilliseconds: Long,
    ): StoreAnswer? {
        val interruptionsAtStart = interruptions
        val end = System.nanoTime() + waitMilliseconds * NANOSECONDS_PER_MILLISECOND
        while (true) {
            if (interruptions != interruptionsAtStart) return null
            if (forgets || after > content.revision) return StoreAnswer(410)
            val found = content.changes(prefix, after).map { it.json }
            val left = (end - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND
            if (!holdsWatches && (found.isNotEmpty() || left <= 0)) {
                return StoreAnswer(200, """{"events":[${found.joinToString(",")}],"as_of":${content.revision}}""")
            }
            (this as Object).wait(left.coerceAtLeast(1))
        }
    }

    private fun queryOf(exchange: HttpExchange): Map<String, String> =
        exchange.requestURI.rawQuery
            .orEmpty()
            .split('&')
            .filter { '=' in it }
            .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

    private companion object {
        const val BACKLOG = 64
        const val HOLD_MILLISECONDS = 300L
        const val PAGE_ITEMS = 500
        const val PAGE_BYTES = 1_000_000
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
