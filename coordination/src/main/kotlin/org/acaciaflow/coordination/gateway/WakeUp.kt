package org.acaciaflow.coordination.gateway

import kotlinx.coroutines.channels.Channel

/** Wakes one worker when a request may have become dispatchable. Pending signals are conflated into one. */
class WakeUp {
    private val signals = Channel<Unit>(Channel.CONFLATED)

    fun signal() {
        signals.trySend(Unit)
    }

    /** Waits for the next signal. */
    suspend fun await() {
        signals.receive()
    }
}
