package org.acaciaflow.transport.link

import org.acaciaflow.coordination.configuration.ConfigurationUpdater
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.configuration.ConfigurationCodec
import org.acaciaflow.protocol.configuration.DecodedConfiguration
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.protocol.frame.WireAttempt
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.table.SharedTable
import java.util.concurrent.atomic.AtomicLong

/** What both ends of a link do alike: stamp frames with the revision and pass configurations on. */
internal class LinkContext(
    private val configuration: SharedTable<Configuration>,
    private val keeper: ConfigurationUpdater,
    private val observations: Observations,
) {
    private val highestPulled = AtomicLong()

    fun envelope(
        attempt: WireAttempt?,
        body: FrameBody,
    ): Envelope = Envelope(configuration.snapshot().revision, attempt, body)

    /** The frame that asks the peer for its configuration, when the peer's is newer and was not asked for yet. */
    fun pullFor(envelope: Envelope): Envelope? {
        if (envelope.revision <= configuration.snapshot().revision) return null
        if (highestPulled.getAndUpdate { maxOf(it, envelope.revision) } >= envelope.revision) return null
        return envelope(attempt = null, FrameBody.ConfigurationPull)
    }

    /** The frame that gives the peer this process's configuration; null when there is none. */
    fun push(): Envelope? {
        val current = configuration.snapshot()
        if (current.revision == Configuration.NO_REVISION) return null
        return envelope(attempt = null, FrameBody.ConfigurationPush(ConfigurationCodec.encodeRevised(current)))
    }

    fun pushed(push: FrameBody.ConfigurationPush) {
        when (val decoded = ConfigurationCodec.decodeRevised(push.document)) {
            is DecodedConfiguration.Decoded -> {
                keeper.offer(decoded.configuration)
            }

            is DecodedConfiguration.Faulty -> {
                observations.event(Event.ConfigurationRejected(Configuration.NO_REVISION, decoded.faults.first()))
            }
        }
    }
}
