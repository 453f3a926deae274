package org.acaciaflow.daemon.limit

import org.acaciaflow.daemon.soak.RequestReader
import org.acaciaflow.daemon.soak.ServerLife
import java.net.Socket
import kotlin.random.Random

/**
 * A backend server of [service] that registers as [instance] and may name a limit of requests a second in its answers.
 *
 * It runs all requests, each in 10 to 30 ms. A request's id tells which gateway its caller chose; see [machineOf].
 */
internal class LimitingServer(
    val instance: String,
    private val service: String,
    private val clock: () -> Long,
) : AutoCloseable {
    private val life = ServerLife(1, System.currentTimeMillis(), port = 0, ::serve)
    private val random = Random(instance.hashCode())
    private val account = LimitAccount()
    private val healthy = "HTTP/1.1 200 OK\r\nInstance-Id: $instance\r\nContent-Length: 0\r\n\r\n"

    /** The value of the answers' `Server-Limit`; null for none. */
    @Volatile
    var limit: Double? = null

    /** The entry of this server in the store. */
    val entry: String
        get() =
            """{"service":"$service","address":"127.0.0.1:${life.port}","zone":"suba","version":"v1","slots":8,""" +
                """"state":"ready","cold_remaining_ms":0,"born":${life.born},"sequence":1}"""

    fun entries(): LimitEntries = account.snapshot()

    override fun close() = life.end()

    private fun serve(
        life: ServerLife,
        socket: Socket,
    ) {
        socket.tcpNoDelay = true
        val reader = RequestReader(socket.getInputStream())
        while (true) {
            val head = reader.readHead() ?: return
            if (head.target == HEALTH_PATH) {
                socket.getOutputStream().write(healthy.toByteArray())
                continue
            }
            reader.readBody(head)
            val requestId = head.field("Request-Id").orEmpty()
            val machine = machineOf(requestId)
            account.arrived(LimitArrival(machine, clock()))
            Thread.sleep(synchronized(random) { random.nextLong(SHORTEST_WORK, LONGEST_WORK) })
            val limitNow = limit
            account.answered(LimitAnswer(machine, clock(), limitNow))
            val answer = answer(requestId, "$instance.${life.nextArrival()}", limitNow)
            socket.getOutputStream().write(answer.toByteArray())
        }
    }

    private fun answer(
        requestId: String,
        stamp: String,
        limit: Double?,
    ): String {
        val limitField = limit?.let { "Server-Limit: $it\r\n" }.orEmpty()
        return "HTTP/1.1 200 OK\r\nRequest-Id: $requestId\r\nServer-Stamp: $stamp\r\n" +
            "${limitField}Content-Length: 2\r\n\r\nok"
    }

    private companion object {
        const val HEALTH_PATH = "/healthz"
        const val SHORTEST_WORK = 10L
        const val LONGEST_WORK = 30L
    }
}
