package org.acaciaflow.transport.link

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Flow-control window of one stream: the bytes that may be sent before the reader grants more credit. */
internal class StreamWindow {
    private val available = MutableStateFlow(INITIAL_BYTES)

    /** Waits until the window is positive, then subtracts [bytes]; one part may take the window below zero. */
    suspend fun acquire(bytes: Int) {
        available.first { it > 0 }
        available.update { it - bytes }
    }

    fun grant(bytes: Int) {
        available.update { it + bytes }
    }

    companion object {
        const val INITIAL_BYTES = 256 * 1024
    }
}
