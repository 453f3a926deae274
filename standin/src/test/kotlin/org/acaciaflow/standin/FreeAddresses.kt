package org.acaciaflow.standin

import org.acaciaflow.state.identity.HostAddress
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates each loopback port once.
 *
 * The ports lie below the ephemeral range, so that no outgoing connection occupies one before its server binds it.
 */
internal object FreeAddresses {
    private const val FIRST_PORT = 15_000
    private val lastPort = AtomicInteger(FIRST_PORT)

    fun next(): HostAddress {
        while (true) {
            val port = lastPort.incrementAndGet()
            if (isFree(port)) return HostAddress("127.0.0.1", port)
        }
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
