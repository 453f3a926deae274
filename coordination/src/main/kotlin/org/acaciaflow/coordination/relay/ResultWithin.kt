package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.port.SocketReads
import kotlin.time.Duration

/**
 * Returns the result of [block], or null after [timeout], when [block] is cancelled.
 *
 * The timer may fire late because the process did not run for a while. So the sockets are read once more after it, and a
 * result that this brings is returned.
 */
internal suspend fun <Result : Any> resultWithin(
    timeout: Duration,
    socketReads: SocketReads,
    block: suspend () -> Result,
): Result? =
    coroutineScope {
        val work = async(start = CoroutineStart.UNDISPATCHED) { block() }
        val inTime = withTimeoutOrNull(timeout) { work.await() }
        if (inTime == null) socketReads.awaitNext()
        when {
            inTime != null -> inTime
            work.isCompleted -> work.await()
            else -> null.also { work.cancel() }
        }
    }
