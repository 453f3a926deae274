package org.acaciaflow.transport.http

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** Counts the calls that were read and whose answer is not written; those who wait for their end do not poll. */
internal class OpenCalls {
    private val state = MutableStateFlow(Calls(open = 0, begun = 0))

    /** The number of open calls. */
    val count: Int
        get() = state.value.open

    /** Counts a call that was read; it ends with the first run of the returned function. */
    fun begin(): () -> Unit {
        state.update { Calls(it.open + 1, it.begun + 1) }
        val ended = AtomicBoolean()
        return { if (ended.compareAndSet(false, true)) state.update { it.copy(open = it.open - 1) } }
    }

    /** Waits until no call is open. */
    suspend fun awaitNone() {
        state.first { it.open == 0 }
    }

    /** Waits until no call has been open for [time]; a call that begins and ends meanwhile counts. */
    suspend fun awaitIdle(time: Duration) {
        while (true) {
            val idle = state.first { it.open == 0 }
            withTimeoutOrNull(time) { state.first { it.begun != idle.begun } } ?: return
        }
    }

    private data class Calls(
        val open: Int,
        val begun: Long,
    )
}
