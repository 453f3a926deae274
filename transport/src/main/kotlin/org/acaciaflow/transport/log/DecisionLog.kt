package org.acaciaflow.transport.log

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes log lines without ever making their sender wait.
 *
 * Lines wait in a queue of [QUEUED_LINES] and are written together; those that find it full are left out, and a line
 * says how many were.
 */
class DecisionLog {
    private val queue = Channel<String>(QUEUED_LINES)
    private val leftOut = AtomicLong()

    /** Queues a line; it is left out when too many are waiting. */
    fun write(line: String) {
        if (!queue.trySend(line).isSuccess) leftOut.incrementAndGet()
    }

    /** Writes queued lines until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                Logger.info(batchFrom(queue.receive()))
                delay(BATCH_INTERVAL)
            }
        }
    }

    private fun batchFrom(first: String): String =
        buildString {
            append(first)
            while (true) append('\n').append(queue.tryReceive().getOrNull() ?: break)
            val missing = leftOut.getAndSet(0)
            if (missing > 0) append("decision=log-lines-left-out count=").append(missing) else setLength(length - 1)
        }

    private companion object {
        const val QUEUED_LINES = 2000
        val BATCH_INTERVAL: Duration = 100.milliseconds // one write for some ten requests
    }
}
