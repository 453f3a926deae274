package org.acaciaflow.transport.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.sidecar.AttemptAdmission
import org.acaciaflow.coordination.sidecar.SidecarTables
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.toWire
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.parseProcessIdentity
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Accepts links from gateways on the sidecar's port. */
internal class LinkServer(
    private val self: ProcessIdentity,
    private val dataCentre: DataCentre,
    private val pool: PoolName,
    private val selector: SelectorManager,
    private val tables: SidecarTables,
    private val context: LinkContext,
    private val admission: AttemptAdmission,
    private val exchanges: ExchangeQueue,
    private val observations: Observations,
    private val supervisor: LoopSupervisor,
    private val scope: CoroutineScope,
) {
    private val links = createSharedTable(LockOrder.LINKS, NO_LINKS)

    /** Binds the port and starts to accept links; fails when another process is listening on the port. */
    suspend fun start(address: HostAddress) {
        val server = aSocket(selector).tcp().bind(address.ip, address.port) { reuseAddress = true }
        supervisor.startLoop("link-accept") { accept(server) }
        supervisor.startLoop("load-broadcast") { broadcastLoadChanges() }
    }

    /** Sends the current load and phase to all connected gateways. */
    fun broadcastLoad() {
        links.snapshot().forEach { sendLoad(it) }
    }

    private suspend fun accept(server: ServerSocket) {
        while (true) {
            val socket = server.accept()
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            FrameConnection(socket).use { connection ->
                connection.start(scope)
                val first =
                    withTimeoutOrNull(HELLO_TIMEOUT) { connection.receive() } as? ReceivedFrame.Frame ?: return
                val hello = first.envelope.body as? FrameBody.Hello ?: return
                val gateway = parseProcessIdentity(hello.process) ?: return
                val link =
                    GatewayLink(gateway, connection, context, admission, exchanges, ::sendLoad, observations)
                link.send(welcome())
                link.handle(first.envelope.copy(body = FrameBody.Heartbeat))
                serve(link, connection)
            }
        } catch (_: IOException) {
            // The connection failed; the gateway opens a new link.
        }
    }

    private suspend fun serve(
        link: GatewayLink,
        connection: FrameConnection,
    ) {
        links.update { it.add(link) }
        sendLoad(link)
        observations.event(Event.GatewayJoined(link.gateway))
        val heartbeats = scope.launch { HeartbeatMonitor(connection, context).run() }
        try {
            readFrames(link, connection)
        } finally {
            heartbeats.cancel()
            links.update { it.remove(link) }
            link.close()
            observations.event(Event.GatewayLost(link.gateway))
        }
    }

    private suspend fun readFrames(
        link: GatewayLink,
        connection: FrameConnection,
    ) {
        while (true) {
            when (val received = connection.receive()) {
                is ReceivedFrame.Frame -> {
                    link.handle(received.envelope)
                }

                is ReceivedFrame.Faulty -> {
                    return observations.event(Event.FrameRejected(link.gateway.address, received.fault))
                }

                ReceivedFrame.Ended -> {
                    return
                }
            }
        }
    }

    private fun welcome(): FrameBody.Welcome =
        FrameBody.Welcome(
            process = self.toString(),
            dataCentre = dataCentre.name,
            pool = pool.name,
            load = tables.load.snapshot().toWire(runningForReader = 0),
        )

    private fun sendLoad(link: GatewayLink) {
        link.send(FrameBody.Load(tables.load.snapshot().toWire(link.running)))
    }

    private suspend fun broadcastLoadChanges() {
        var lastSent = tables.load.snapshot()
        while (true) {
            delay(LOAD_CHECK_INTERVAL)
            val current = tables.load.snapshot()
            if (current != lastSent) broadcastLoad()
            lastSent = current
        }
    }

    private companion object {
        val NO_LINKS: PersistentSet<GatewayLink> = persistentSetOf()
        val HELLO_TIMEOUT: Duration = 4.seconds
        val LOAD_CHECK_INTERVAL: Duration = 200.milliseconds
    }
}
