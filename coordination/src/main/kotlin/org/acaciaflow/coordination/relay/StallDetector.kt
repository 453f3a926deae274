package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.JobIdentity
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Tells whether an attempt makes no progress. */
internal interface StallDetector {
    /** False if no time without progress counts as a stall. */
    val isBounded: Boolean

    /** The number of parts of the answer that were read, whether they are progress or not. */
    val partsRead: Long

    /** Returns the limit that the attempt exceeds at [now]; null while it is in time. */
    fun stallAt(now: Instant): Stall?
}

/**
 * Detects that the run [job] at [life], whose answer [stream] brings, makes no progress for longer than [stallTimeouts].
 *
 * An answer that is held back has arrived, so it does not stall.
 */
internal class RunStallDetector(
    private val tables: RelayTables,
    private val life: BackendLife,
    private val job: JobIdentity,
    private val stallTimeouts: StallTimeouts,
    private val stream: AttemptStream,
    private val clock: Clock,
) : StallDetector {
    private val startedAt: Instant = clock.now()

    @Volatile
    private var lastProgressAt: Instant? = null

    @Volatile
    private var suspended = false

    override val isBounded = stallTimeouts != StallTimeouts.UNBOUNDED

    @Volatile
    override var partsRead = 0L
        private set

    /** The stream of this run, whose parts are counted. */
    val watchedStream: AttemptStream = WatchedStream()

    /** Records that the answer advanced at [now]. */
    fun recordProgress(now: Instant) {
        lastProgressAt = now
    }

    /** Runs [block], in which this gateway is to wait for and not the server, without detecting stalls. */
    suspend fun <Result> suspendedDuring(block: suspend () -> Result): Result {
        suspended = true
        try {
            return block()
        } finally {
            val now = clock.now()
            tables.load.update { LoadLedger.producing(it, life, job, now) }
            suspended = false
        }
    }

    override fun stallAt(now: Instant): Stall? {
        if (stream.isHeld || suspended) return null
        val last = lastProgressAt
        val limit = if (last == null) stallTimeouts.firstData else stallTimeouts.betweenData
        if (limit != null && now - (last ?: startedAt) > limit) {
            return if (last == null) Stall.FIRST_DATA else Stall.BETWEEN_DATA
        }
        val serverLimit = stallTimeouts.serverSilence ?: return null
        val silence =
            tables.load
                .snapshot()
                .ownAt(life)
                .silence(now)
        return if (silence > serverLimit) Stall.SERVER_SILENT else null
    }

    private inner class WatchedStream : AttemptStream by stream {
        override suspend fun next(): AttemptEvent = stream.next().also { partsRead += 1 }
    }
}

/** Detects that a prefill, which is sent at [sentAt], has no answer after [timeout]. */
internal class PrefillStallDetector(
    private val sentAt: Instant,
    private val timeout: Duration,
) : StallDetector {
    override val isBounded = true
    override val partsRead = 0L

    override fun stallAt(now: Instant): Stall? = if (now - sentAt > timeout) Stall.PREFILL else null
}
