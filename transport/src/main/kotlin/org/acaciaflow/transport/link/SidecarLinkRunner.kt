package org.acaciaflow.transport.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.FrameFault
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.coordination.gateway.WakeUp
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.toAvailability
import org.acaciaflow.protocol.frame.toReport
import org.acaciaflow.state.backend.Availability
import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.parseProcessIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Opens a link to a sidecar and handles its frames until the link closes. */
internal class SidecarLinkRunner(
    private val self: ProcessIdentity,
    private val dataCentre: DataCentre,
    private val selector: SelectorManager,
    private val directory: SidecarDirectory,
    private val tables: GatewayTables,
    private val context: LinkContext,
    private val wakeUp: WakeUp,
    private val observations: Observations,
    private val scope: CoroutineScope,
) {
    /**
     * Returns when the link has closed, or when the peer sent no valid welcome frame in time.
     *
     * Throws an `IOException` when the connection to [address] can't be opened.
     */
    suspend fun run(address: HostAddress) {
        val socket = aSocket(selector).tcp().connect(address.ip, address.port) { noDelay = true }
        FrameConnection(socket).use { connection ->
            connection.start(scope)
            connection.send(context.envelope(attempt = null, FrameBody.Hello(self.toString(), dataCentre.name)))
            val first = withTimeoutOrNull(WELCOME_TIMEOUT) { connection.receive() } as? ReceivedFrame.Frame ?: return
            val welcome = first.envelope.body as? FrameBody.Welcome ?: return
            val sidecar = parseProcessIdentity(welcome.process) ?: return
            pullIfNewer(connection, first.envelope)
            serve(SidecarLink(sidecar, connection, context, observations), connection, welcome)
        }
    }

    private suspend fun serve(
        link: SidecarLink,
        connection: FrameConnection,
        welcome: FrameBody.Welcome,
    ) {
        addSidecar(link, welcome)
        val heartbeats = scope.launch { HeartbeatMonitor(connection, context).run() }
        try {
            readFrames(link, connection)
        } finally {
            heartbeats.cancel()
            removeSidecar(link)
        }
    }

    private suspend fun readFrames(
        link: SidecarLink,
        connection: FrameConnection,
    ) {
        while (true) {
            when (val received = connection.receive()) {
                is ReceivedFrame.Frame -> {
                    handle(link, connection, received.envelope)
                }

                is ReceivedFrame.Faulty -> {
                    return observations.event(Event.FrameRejected(link.sidecar.address, received.fault))
                }

                ReceivedFrame.Ended -> {
                    return
                }
            }
        }
    }

    private fun handle(
        link: SidecarLink,
        connection: FrameConnection,
        envelope: Envelope,
    ) {
        pullIfNewer(connection, envelope)
        if (link.handle(envelope)) return
        when (val body = envelope.body) {
            is FrameBody.Load -> onLoad(link.sidecar, body)
            is FrameBody.ConfigurationPush -> context.onConfigurationPush(body)
            FrameBody.ConfigurationPull -> context.configurationPush()?.let { connection.send(it) }
            FrameBody.Heartbeat -> Unit
            else -> observations.event(Event.FrameRejected(link.sidecar.address, FrameFault.UNEXPECTED))
        }
    }

    private fun pullIfNewer(
        connection: FrameConnection,
        envelope: Envelope,
    ) {
        context.configurationPullFor(envelope)?.let { connection.send(it) }
    }

    private fun onLoad(
        sidecar: ProcessIdentity,
        body: FrameBody.Load,
    ) {
        val availability = body.load.phase.toAvailability()
        val before =
            tables.servers
                .snapshot()
                .servers[sidecar.address]
                ?.availability
        tables.servers.update { servers ->
            servers.changed(sidecar) {
                it.copy(availability = availability, role = body.load.role, load = body.load.toReport())
            }
        }
        if (availability == Availability.Leaving && before != Availability.Leaving) {
            observations.event(Event.SidecarLeaving(sidecar))
        }
        wakeUp.signal()
    }

    private fun addSidecar(
        link: SidecarLink,
        welcome: FrameBody.Welcome,
    ) {
        directory.add(link)
        val server =
            BackendServer(
                process = link.sidecar,
                pool = PoolName(welcome.pool),
                dataCentre = DataCentre(welcome.dataCentre),
                availability = welcome.load.phase.toAvailability(),
                role = welcome.load.role,
                load = welcome.load.toReport(),
                outstanding = persistentMapOf(),
            )
        tables.servers.update { it.added(server) }
        observations.event(Event.SidecarJoined(link.sidecar))
        wakeUp.signal()
    }

    private fun removeSidecar(link: SidecarLink) {
        directory.remove(link)
        tables.servers.update { it.removed(link.sidecar) }
        link.close()
        observations.event(Event.SidecarLost(link.sidecar))
        wakeUp.signal()
    }

    private companion object {
        val WELCOME_TIMEOUT: Duration = 4.seconds
    }
}
