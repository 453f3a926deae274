package org.acaciaflow.transport.log

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.port.LoopSupervisor
import org.tinylog.kotlin.Logger
import java.time.ZoneId
import java.time.format.DateTimeFormatter
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.toJavaInstant

/**
 * Writes log lines in batches without blocking the caller.
 *
 * Up to [QUEUE_CAPACITY] lines wait to be written. When the queue is full, new lines are dropped, and the next batch
 * ends with a line that gives their number. Each line has the time and level that single log entries have.
 */
class DecisionLog(
    private val output: (String) -> Unit = { Logger.info(it) },
) {
    private val queue = Channel<String>(QUEUE_CAPACITY)
    private val droppedLines = AtomicLong()

    /** Queues [line], or drops it when the queue is full. */
    fun write(line: String) {
        if (!queue.trySend(line).isSuccess) droppedLines.incrementAndGet()
    }

    /** Starts a loop of [supervisor] that writes queued lines with the time of [clock]. */
    fun start(
        supervisor: LoopSupervisor,
        clock: Clock,
    ) {
        supervisor.startLoop("decision-log") {
            while (true) {
                val first = queue.receive()
                output(batchFrom(first, clock.now()))
                delay(BATCH_INTERVAL)
            }
        }
    }

    /** Writes the lines that are queued at [now], when no loop writes them any more. */
    fun flush(now: Instant) {
        val first = queue.tryReceive().getOrNull() ?: return
        output(batchFrom(first, now))
    }

    /** Joins [first] and the other queued lines; the logger itself adds time and level to the first one only. */
    private fun batchFrom(
        first: String,
        now: Instant,
    ): String {
        val separator = "\n${TIME_FORMAT.format(now.toJavaInstant())} INFO "
        return buildString {
            append(first)
            while (true) append(separator).append(queue.tryReceive().getOrNull() ?: break)
            setLength(length - separator.length)
            val dropped = droppedLines.getAndSet(0)
            if (dropped > 0) append(separator).append("decision=log-lines-left-out count=").append(dropped)
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 2000
        val BATCH_INTERVAL: Duration = 100.milliseconds // one write covers about ten requests

        /** The format of `tinylog.properties`. */
        val TIME_FORMAT: DateTimeFormatter =
            DateTimeFormatter
                .ofPattern(
                    "yyyy-MM-dd'T'HH:mm:ss.SSS",
                ).withZone(ZoneId.systemDefault())
    }
}
