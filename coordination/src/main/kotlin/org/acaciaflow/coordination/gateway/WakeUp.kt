package org.acaciaflow.coordination.gateway

import kotlinx.coroutines.channels.Channel

/** Wakes a worker when a request may have become dispatchable. Signals that nobody took yet are merged. */
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
