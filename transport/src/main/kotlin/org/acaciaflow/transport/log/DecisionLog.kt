package org.acaciaflow.transport.log

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.port.LoopSupervisor
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes log lines in batches without blocking the caller.
 *
 * Up to [QUEUE_CAPACITY] lines wait to be written. When the queue is full, new lines are dropped, and the next batch
 * ends with a line that gives their number.
 */
class DecisionLog {
    private val queue = Channel<String>(QUEUE_CAPACITY)
    private val droppedLines = AtomicLong()

    /** Queues [line], or drops it when the queue is full. */
    fun write(line: String) {
        if (!queue.trySend(line).isSuccess) droppedLines.incrementAndGet()
    }

    /** Starts a loop of [supervisor] that writes queued lines. */
    fun start(supervisor: LoopSupervisor) {
        supervisor.startLoop("decision-log") {
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
            val dropped = droppedLines.getAndSet(0)
            if (dropped > 0) append("decision=log-lines-left-out count=").append(dropped) else setLength(length - 1)
        }

    private companion object {
        const val QUEUE_CAPACITY = 2000
        val BATCH_INTERVAL: Duration = 100.milliseconds // one write covers about ten requests
    }
}
