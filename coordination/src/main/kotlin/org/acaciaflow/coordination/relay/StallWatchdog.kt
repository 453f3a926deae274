package org.acaciaflow.coordination.relay

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Aborts a run that makes no progress for longer than [stallTimeouts], so that it can be retried elsewhere. */
internal class StallWatchdog(
    private val tables: RelayTables,
    private val life: BackendLife,
    private val stallTimeouts: StallTimeouts,
    private val clock: Clock,
) {
    private val startedAt: Instant = clock.now()

    @Volatile
    private var lastProgressAt: Instant? = null

    /** True once the run has been aborted. */
    @Volatile
    var stalled = false
        private set

    /** Records that the answer advanced at [now]. */
    fun recordProgress(now: Instant) {
        lastProgressAt = now
    }

    /** Runs [block] and aborts [stream] if it stalls meanwhile. */
    suspend fun <Result> during(
        stream: AttemptStream,
        block: suspend () -> Result,
    ): Result {
        if (stallTimeouts == StallTimeouts.UNBOUNDED) return block()
        return coroutineScope {
            val watching = launch { watch(stream) }
            try {
                block()
            } finally {
                watching.cancel()
            }
        }
    }

    private suspend fun watch(stream: AttemptStream) {
        while (!isStalled(clock.now())) delay(CHECK_INTERVAL)
        stalled = true
        stream.cancel()
    }

    private fun isStalled(now: Instant): Boolean {
        val last = lastProgressAt
        val limit = if (last == null) stallTimeouts.firstData else stallTimeouts.betweenData
        if (limit != null && now - (last ?: startedAt) > limit) return true
        val serverLimit = stallTimeouts.serverSilence ?: return false
        return tables.load
            .snapshot()
            .ownAt(life)
            .silence(now) > serverLimit
    }

    private companion object {
        val CHECK_INTERVAL: Duration = 200.milliseconds
    }
}
