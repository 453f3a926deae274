package org.acaciaflow.state.loop

import kotlin.time.Duration

/** The state of one of the lasting loops of a process, for example the watch of the store. */
sealed interface LoopState {
    /** The loop runs; it was started again after [restarts] failures. */
    data class Running(
        val restarts: Int,
    ) : LoopState

    /** The loop ended with [cause] and starts again after [pause]. */
    data class Restarting(
        val restarts: Int,
        val cause: String,
        val pause: Duration,
    ) : LoopState
}
