package org.acaciaflow.transport.link

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import org.acaciaflow.coordination.configuration.ConfigurationRead
import org.acaciaflow.coordination.configuration.ConfigurationSource
import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.createSharedTable
import org.acaciaflow.transport.observation.MeteredObservations
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class LinkContextTest : AnnotationSpec() {
    private val observations = MeteredObservations(SimpleMeterRegistry())
    private val configuration = createSharedTable(LockOrder.CONFIGURATION, Configuration.EMPTY)
    private val updater = ConfigurationUpdater(NoSource, configuration, observations)
    private var now = Instant.fromEpochSeconds(1_000)
    private val clock =
        object : Clock {
            override fun now(): Instant = this@LinkContextTest.now
        }
    private val context = LinkContext(configuration, updater, observations, clock)

    /** Guards against a peer with a revision far ahead that keeps newer configurations of other peers from being pulled. */
    @Test
    fun `a newer configuration is pulled although another peer has reported a revision far ahead`() {
        val farAhead = Envelope(revision = 1_000, attempt = null, FrameBody.Heartbeat)
        val newer = Envelope(revision = 9, attempt = null, FrameBody.Heartbeat)
        context.configurationPullFor(farAhead)

        val pull = context.configurationPullFor(newer)

        pull?.body shouldBe FrameBody.ConfigurationPull
    }

    /** Guards against a request that is lost and never repeated, and against one request for each frame of a peer. */
    @Test
    fun `a configuration that does not arrive is requested again after two seconds`() {
        val newer = Envelope(revision = 20, attempt = null, FrameBody.Heartbeat)

        val requested =
            (0..45).count {
                now += 100.milliseconds
                context.configurationPullFor(newer) != null
            }

        requested shouldBe 3
    }

    private object NoSource : ConfigurationSource {
        override suspend fun read(known: Long): StoreResult<ConfigurationRead> =
            StoreResult.Success(ConfigurationRead.NoneAccepted)

        override fun changes(): Flow<Unit> = emptyFlow()
    }
}
