package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.crash.StartingAttempt
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.state.load.JobIdentity
import kotlin.time.Clock

/**
 * Gives up the attempt [job] of [request] if it comes into quarantine before its answer begins.
 *
 * The server may not have started on it yet, and would crash as others did. An attempt that must not be repeated goes on.
 */
internal class QuarantineWatch(
    private val tables: RelayTables,
    private val request: RelayedRequest,
    private val job: JobIdentity,
    private val tracker: RelayProgressTracker,
    private val clock: Clock,
) {
    @Volatile
    private var hasData = false

    /** True once the attempt has been given up. */
    @Volatile
    var givenUp = false
        private set

    /** Runs [block] with [stream], and cancels the stream if the attempt is given up meanwhile. */
    suspend fun <Result> during(
        stream: AttemptStream,
        block: suspend (AttemptStream) -> Result,
    ): Result {
        if (!request.route.kind.repeatable || tracker.progress.begun) return block(stream)
        val attempt = StartingAttempt(request.crashSubjects, CompletableDeferred())
        tables.startingAttempts.update { it.put(job, attempt) }
        // The connection may have taken a while.
        val isSuspect = CrashQuarantine.holdsLikelyCause(tables.crashes.snapshot(), request.crashSubjects, clock.now())
        if (isSuspect) attempt.givenUp.complete(Unit)
        try {
            return coroutineScope {
                val watching = launch { giveUpAfter(attempt, stream) }
                block(WatchedStream(stream)).also { watching.cancel() }
            }
        } finally {
            tables.startingAttempts.update { it.remove(job) }
        }
    }

    private suspend fun giveUpAfter(
        attempt: StartingAttempt,
        stream: AttemptStream,
    ) {
        attempt.givenUp.await()
        if (hasData) return
        givenUp = true
        stream.cancel()
    }

    private inner class WatchedStream(
        private val stream: AttemptStream,
    ) : AttemptStream by stream {
        override suspend fun next(): AttemptEvent = stream.next().also { if (it is AttemptEvent.Data) hasData = true }
    }
}
