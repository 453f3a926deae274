package org.acaciaflow.transport.link

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.configuration.ConfigurationRead
import org.acaciaflow.coordination.configuration.ConfigurationSource
import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.sidecar.AttemptAdmission
import org.acaciaflow.coordination.sidecar.BackendSupervisor
import org.acaciaflow.coordination.sidecar.SidecarExchange
import org.acaciaflow.coordination.sidecar.createSidecarTables
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.toFrame
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.createSharedTable
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.transport.backend.VertxBackendCaller
import org.acaciaflow.transport.observation.MeteredObservations
import org.acaciaflow.transport.worker.createWorkerPool
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

class SidecarLinkTest : AnnotationSpec() {
    private val observations = MeteredObservations(SimpleMeterRegistry())
    private val selector = SelectorManager(Dispatchers.IO)
    private val linkScope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val pool = createWorkerPool(threads = 2, observations, Clock.System)
    private val vertx = Vertx.vertx()
    private val configuration = createSharedTable(LockOrder.CONFIGURATION, Configuration.EMPTY)
    private val updater = ConfigurationUpdater(NoSource, configuration, observations)
    private val context = LinkContext(configuration, updater, observations, Clock.System)

    @AfterAll
    fun close() {
        linkScope.cancel()
        pool.close()
        selector.close()
        vertx.close()
    }

    /** Guards against an attempt that waits for ever since its link closed while it was opened. */
    @Test
    suspend fun `an attempt that is opened while the link closes is refused or broken`() {
        val (link, _) = connect()
        var stream: AttemptStream? = null
        // Closing the link resumes this coroutine at once, before the link has closed its connection.
        linkScope.launch(Dispatchers.Unconfined) {
            link.settle(ATTEMPT, SIDECAR, 5.seconds)
            stream = link.open(linkScope, order(2), EmptyBody)
        }

        link.close()
        val event = withTimeoutOrNull(3.seconds) { checkNotNull(stream).next() }

        event.shouldBeInstanceOf<AttemptEvent.Refused>()
    }

    /** Guards against two gateway workers of which one gets no answer since both ask for the same attempt. */
    @Test
    suspend fun `two settlements of one attempt at a time both get the answer`() {
        val (link, sidecar) = connect()
        linkScope.launch { repeat(2) { link.handle((sidecar.gateway.receive() as ReceivedFrame.Frame).envelope) } }

        val answers = List(2) { linkScope.async { link.settle(ATTEMPT, SIDECAR, 3.seconds) } }
        val asked = List(2) { (sidecar.connection.receive() as ReceivedFrame.Frame).envelope }
        asked.forEach { sidecar.connection.send(Envelope(0, it.attempt, SettleAnswer.NeverStarted.toFrame())) }

        answers.awaitAll() shouldBe List(2) { SettleAnswer.NeverStarted }
    }

    /** Guards against connections without a first frame that stay open and fill the sidecar. */
    @Test
    suspend fun `a connection whose first frame does not arrive within four seconds is closed`() {
        val address =
            HostAddress("127.0.0.1", ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort })
        linkServer().start(address)

        Socket(address.ip, address.port).use { socket ->
            socket.soTimeout = 10_000
            socket.getOutputStream().write(byteArrayOf(0, 0))

            socket.getInputStream().read() shouldBe -1
        }
    }

    /** The sidecar's end of a link, and the connection that brings frames to the gateway. */
    private class SidecarEnd(
        val connection: FrameConnection,
        val gateway: FrameConnection,
    )

    private suspend fun connect(): Pair<SidecarLink, SidecarEnd> {
        val server = aSocket(selector).tcp().bind("127.0.0.1", 0)
        val port = (server.localAddress as InetSocketAddress).port
        val gateway = FrameConnection(aSocket(selector).tcp().connect("127.0.0.1", port))
        val sidecar = FrameConnection(server.accept())
        gateway.start(linkScope)
        sidecar.start(linkScope)
        return SidecarLink(SIDECAR, gateway, context, observations) to SidecarEnd(sidecar, gateway)
    }

    private fun linkServer(): LinkServer {
        val tables = createSidecarTables(capacity = 2, journalCapacity = 16)
        val caller = VertxBackendCaller(vertx, HostAddress("127.0.0.1", 1), "/", 1)
        val admission = AttemptAdmission(SIDECAR, tables)
        val exchange = SidecarExchange(admission, caller, BackendSupervisor(tables, caller, observations))
        return LinkServer(
            SIDECAR,
            DataCentre("north"),
            PoolName("pool"),
            selector,
            tables,
            context,
            admission,
            ExchangeQueue(exchange, observations),
            observations,
            pool,
            pool.scope,
        )
    }

    private fun order(sequence: Long) =
        AttemptOrder(
            attempt = ATTEMPT.copy(sequence = sequence),
            sidecar = SIDECAR,
            call = CallHead("POST", "/", persistentListOf()),
            rank = Rank.STANDARD,
            atMostOnce = true,
            alone = false,
            digest = RequestDigest("00"),
            resumeFromToken = 0,
            timeLeft = 5.seconds,
        )

    private object EmptyBody : CallBody {
        override val buffered = ByteString()
        override val whole = true

        override suspend fun next(): BodyPart = BodyPart.End
    }

    private object NoSource : ConfigurationSource {
        override suspend fun read(known: Long): StoreResult<ConfigurationRead> =
            StoreResult.Success(ConfigurationRead.NoneAccepted)

        override fun changes(): Flow<Unit> = emptyFlow()
    }

    private companion object {
        val SIDECAR = ProcessIdentity(HostAddress("127.0.0.1", 7001), startNumber = 1)
        val ATTEMPT = AttemptIdentity(ProcessIdentity(HostAddress("127.0.0.1", 7002), startNumber = 2), sequence = 1)
    }
}
