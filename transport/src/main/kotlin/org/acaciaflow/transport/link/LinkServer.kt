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
import kotlinx.io.IOException
import org.acaciaflow.coordination.event.Event
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

/** Takes links of gateways on the sidecar's fixed port. */
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
    private val scope: CoroutineScope,
) {
    private val links = createSharedTable(LockOrder.LINKS, NO_LINKS)

    /** Binds the port and starts accepting; fails when another process holds the port. */
    suspend fun start(address: HostAddress) {
        val server = aSocket(selector).tcp().bind(address.ip, address.port) { reuseAddress = true }
        scope.launch { accept(server) }
        scope.launch { tellLoadPeriodically() }
    }

    /** Tells every gateway the current load and phase. */
    fun tellAll() {
        links.snapshot().forEach { tellLoad(it) }
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
                val first = connection.receive() as? ReceivedFrame.Frame ?: return
                val hello = first.envelope.body as? FrameBody.Hello ?: return
                val gateway = parseProcessIdentity(hello.process) ?: return
                val link =
                    GatewayLink(gateway, connection, context, admission, exchanges, ::tellLoad, observations)
                link.send(welcome())
                link.take(first.envelope.copy(body = FrameBody.Heartbeat))
                serve(link, connection)
            }
        } catch (_: IOException) {
            // The peer went away before it had introduced itself.
        }
    }

    private suspend fun serve(
        link: GatewayLink,
        connection: FrameConnection,
    ) {
        links.update { it.add(link) }
        tellLoad(link)
        observations.event(Event.GatewayJoined(link.gateway))
        val watch = scope.launch { SilenceWatch(connection, context).run() }
        try {
            readFrames(link, connection)
        } finally {
            watch.cancel()
            links.update { it.remove(link) }
            link.ended()
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
                    link.take(received.envelope)
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

    private fun tellLoad(link: GatewayLink) {
        link.send(FrameBody.Load(tables.load.snapshot().toWire(link.running)))
    }

    private suspend fun tellLoadPeriodically() {
        var told = tables.load.snapshot()
        while (true) {
            delay(LOAD_INTERVAL)
            val current = tables.load.snapshot()
            if (current != told) tellAll()
            told = current
        }
    }

    private companion object {
        val NO_LINKS: PersistentSet<GatewayLink> = persistentSetOf()
        val LOAD_INTERVAL: Duration = 200.milliseconds
    }
}
