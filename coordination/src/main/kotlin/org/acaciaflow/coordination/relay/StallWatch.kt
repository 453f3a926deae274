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

/** Breaks off a run that has been silent for longer than [patience] allows, so that it can be tried elsewhere. */
internal class StallWatch(
    private val tables: RelayTables,
    private val life: BackendLife,
    private val patience: Patience,
    private val clock: Clock,
) {
    private val startedAt: Instant = clock.now()

    @Volatile
    private var heardAt: Instant? = null

    /** True once the run was broken off. */
    @Volatile
    var stalled = false
        private set

    /** Notes that a part of the answer came at [now]. */
    fun heard(now: Instant) {
        heardAt = now
    }

    /** Runs [block] and watches [stream] meanwhile. */
    suspend fun <Result> during(
        stream: AttemptStream,
        block: suspend () -> Result,
    ): Result {
        if (patience == Patience.UNBOUNDED) return block()
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
        val last = heardAt
        val limit = if (last == null) patience.first else patience.between
        if (limit != null && now - (last ?: startedAt) > limit) return true
        val serverLimit = patience.serverSilence ?: return false
        return tables.load
            .snapshot()
            .ownAt(life)
            .silence(now) > serverLimit
    }

    private companion object {
        val CHECK_INTERVAL: Duration = 200.milliseconds
    }
}
