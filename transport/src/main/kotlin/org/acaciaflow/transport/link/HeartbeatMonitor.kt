package org.acaciaflow.transport.link

import kotlinx.coroutines.delay
import org.acaciaflow.protocol.frame.FrameBody
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends heartbeats on a link and closes it after several heartbeat intervals without a frame from the peer. */
internal class HeartbeatMonitor(
    private val connection: FrameConnection,
    private val context: LinkContext,
) {
    suspend fun run() {
        var lastCount = connection.receivedFrameCount
        var silentIntervals = 0
        while (silentIntervals < SILENT_INTERVALS_LIMIT) {
            delay(HEARTBEAT_INTERVAL)
            connection.send(context.envelope(attempt = null, FrameBody.Heartbeat))
            val count = connection.receivedFrameCount
            silentIntervals = if (count == lastCount) silentIntervals + 1 else 0
            lastCount = count
        }
        connection.close()
    }

    private companion object {
        val HEARTBEAT_INTERVAL: Duration = 1.seconds
        const val SILENT_INTERVALS_LIMIT = 4
    }
}
