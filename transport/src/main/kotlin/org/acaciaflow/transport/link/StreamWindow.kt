package org.acaciaflow.transport.link

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** How many bytes of one stream may still be sent before its reader grants more. */
internal class StreamWindow {
    private val available = MutableStateFlow(INITIAL_BYTES)

    /** Waits until anything may be sent, then takes [bytes]; the window may go below zero by one part. */
    suspend fun take(bytes: Int) {
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
