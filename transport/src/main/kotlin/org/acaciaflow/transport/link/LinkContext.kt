package org.acaciaflow.transport.link

import org.acaciaflow.coordination.configuration.ConfigurationPullPolicy
import org.acaciaflow.coordination.configuration.ConfigurationPulls
import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.configuration.ConfigurationCodec
import org.acaciaflow.protocol.configuration.DecodedConfiguration
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.WireAttempt
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Clock

/** Used by both ends of a link: stamps each frame with the configuration revision and exchanges configurations. */
internal class LinkContext(
    private val configuration: SharedTable<Configuration>,
    private val updater: ConfigurationUpdater,
    private val observations: Observations,
    private val clock: Clock,
) {
    private val pulls = createSharedTable(LockOrder.CONFIGURATION_PULLS, ConfigurationPulls.NONE)

    fun envelope(
        attempt: WireAttempt?,
        body: FrameBody,
    ): Envelope = Envelope(configuration.snapshot().revision, attempt, body)

    /** The frame that requests the peer's configuration; null unless it is newer and not requested recently. */
    fun configurationPullFor(envelope: Envelope): Envelope? {
        val ownRevision = configuration.snapshot().revision
        if (envelope.revision <= ownRevision) return null
        val requested =
            pulls.transition { ConfigurationPullPolicy.request(it, envelope.revision, ownRevision, clock.now()) }
        return if (requested) envelope(attempt = null, FrameBody.ConfigurationPull) else null
    }

    /** The frame that sends this process's configuration to the peer; null when there is none. */
    fun configurationPush(): Envelope? {
        val current = configuration.snapshot()
        if (current.revision == Configuration.NO_REVISION) return null
        return envelope(attempt = null, FrameBody.ConfigurationPush(ConfigurationCodec.encodeRevised(current)))
    }

    fun onConfigurationPush(push: FrameBody.ConfigurationPush) {
        when (val decoded = ConfigurationCodec.decodeRevised(push.document)) {
            is DecodedConfiguration.Decoded -> {
                updater.offer(decoded.configuration)
            }

            is DecodedConfiguration.Faulty -> {
                observations.event(Event.ConfigurationRejected(Configuration.NO_REVISION, decoded.faults.first()))
            }
        }
    }
}
