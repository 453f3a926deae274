package org.acaciaflow.state.load

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/**
 * Load of one or more other gateways at one backend server.
 *
 * [work] is the predicted processing time of their [waiting] jobs, those without a first result, with no progress taken
 * off; [running] is the number of all their requests in flight, [tokens] the engine memory that they may occupy.
 */
data class RemoteLoad(
    val work: Duration,
    val waiting: Int,
    val running: Int,
    val tokens: Long,
) {
    operator fun plus(other: RemoteLoad): RemoteLoad =
        RemoteLoad(work + other.work, waiting + other.waiting, running + other.running, tokens + other.tokens)

    companion object {
        val NONE = RemoteLoad(work = ZERO, waiting = 0, running = 0, tokens = 0)
    }
}
