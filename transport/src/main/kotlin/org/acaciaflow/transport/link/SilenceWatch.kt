package org.acaciaflow.transport.link

import kotlinx.coroutines.delay
import org.acaciaflow.protocol.frame.FrameBody
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends heartbeats on a link and closes it when its peer has been silent for too long. */
internal class SilenceWatch(
    private val connection: FrameConnection,
    private val context: LinkContext,
) {
    suspend fun run() {
        var seen = connection.received
        var silentBeats = 0
        while (silentBeats < SILENT_BEATS_LIMIT) {
            delay(HEARTBEAT_INTERVAL)
            connection.send(context.envelope(attempt = null, FrameBody.Heartbeat))
            val received = connection.received
            silentBeats = if (received == seen) silentBeats + 1 else 0
            seen = received
        }
        connection.close()
    }

    private companion object {
        val HEARTBEAT_INTERVAL: Duration = 1.seconds
        const val SILENT_BEATS_LIMIT = 4
    }
}
