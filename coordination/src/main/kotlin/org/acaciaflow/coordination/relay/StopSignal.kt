package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.DisposableHandle
import kotlin.time.Instant

/** When the process was asked to stop, and the latest time at which requests in progress are given up. */
data class StopNotice(
    val requestedAt: Instant,
    val endsAt: Instant,
)

/** The phase of a process with regard to its planned stop. */
sealed interface StopPhase {
    data object Serving : StopPhase

    /** Requests are admitted that will end before the process does. */
    data class Draining(
        val notice: StopNotice,
    ) : StopPhase

    /** No request is admitted any more; those in progress go on. */
    data object Closing : StopPhase
}

/** The planned stop of a process, shared by its components. */
class StopSignal {
    /** The current phase. */
    @Volatile
    var phase: StopPhase = StopPhase.Serving
        private set

    private val ended = CompletableDeferred<Unit>()

    /** True once the process has been asked to stop. */
    val requested: Boolean
        get() = phase != StopPhase.Serving

    /** Begins to drain. */
    fun drain(notice: StopNotice) {
        phase = StopPhase.Draining(notice)
    }

    /** Stops admitting requests. */
    fun close() {
        phase = StopPhase.Closing
    }

    /** Ends the requests in progress, each with what is known about its execution. */
    fun end() {
        close()
        ended.complete(Unit)
    }

    /** Runs [action] when the requests in progress are to end, unless the returned handle is disposed before. */
    fun onEnd(action: () -> Unit): DisposableHandle = ended.invokeOnCompletion { action() }
}
