package org.acaciaflow.daemon.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** One start of a server, the [number]th: its listening socket on [port] (0: any), its connections and its threads. */
internal class ServerLife(
    val number: Int,
    val born: Long,
    port: Int,
    private val serve: (ServerLife, Socket) -> Unit,
) {
    private val server = if (port == 0) listenOnFreePort() else listen(port)
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val arrivals = AtomicInteger()
    private val threads = Executors.newCachedThreadPool { Thread(it, "soak-server").apply { isDaemon = true } }
    private val timer = Executors.newScheduledThreadPool(1) { Thread(it, "soak-timer").apply { isDaemon = true } }

    val port: Int = server.localPort

    init {
        threads.execute {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets += socket
                if (server.isClosed) socket.close()
                threads.execute { serveAndClose(socket) }
            }
        }
    }

    /** The number of the next arrival in this life. */
    fun nextArrival(): Int = arrivals.incrementAndGet()

    /** Runs [action] after [milliseconds], unless this life has ended by then. */
    fun after(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        timer.schedule({ threads.execute { ignoringClosed(action) } }, milliseconds, TimeUnit.MILLISECONDS)
    }

    /** Ends the life: no more connections, and those that are open are closed. Nothing is recorded afterwards. */
    fun end() {
        timer.shutdownNow()
        server.close()
        sockets.forEach { it.close() }
        threads.shutdownNow()
        check(threads.awaitTermination(END_SECONDS, TimeUnit.SECONDS)) { "server threads have not ended" }
    }

    private fun serveAndClose(socket: Socket) {
        ignoringClosed { socket.use { serve(this, it) } }
        sockets -= socket
    }

    /** Runs [action], which ends early if the other end or this server closes its connection. */
    private fun ignoringClosed(action: () -> Unit) {
        try {
            action()
        } catch (_: IOException) {
            return // the account says what was written up to here
        } catch (_: InterruptedException) {
            return // the life has ended
        }
    }

    private companion object {
        const val BACKLOG = 256
        const val END_SECONDS = 10L
        const val PORT_TRIES = 200

        /** Below the ports that the system gives to outgoing connections, which could hold one when it is bound again. */
        val PORTS = 22_000..31_999

        fun listen(port: Int) = ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"))

        fun listenOnFreePort(): ServerSocket =
            generateSequence { PORTS.random() }
                .take(PORT_TRIES)
                .firstNotNullOf { runCatching { listen(it) }.getOrNull() }
    }
}
