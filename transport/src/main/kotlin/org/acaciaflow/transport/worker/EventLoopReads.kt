package org.acaciaflow.transport.worker

import io.netty.channel.SingleThreadEventLoop
import io.vertx.core.Context
import io.vertx.core.internal.ContextInternal
import kotlinx.coroutines.suspendCancellableCoroutine
import org.acaciaflow.coordination.port.SocketReads
import kotlin.coroutines.resume

/**
 * The reads of the sockets that [eventLoop] serves.
 *
 * The loop reads all sockets that have something to read, then runs the tasks that are due, for up to a second. The
 * Vert.x dispatcher runs a coroutine of its own context at once, so a yield does not let the loop read.
 */
internal class EventLoopReads(
    private val eventLoop: SingleThreadEventLoop,
) : SocketReads {
    override suspend fun awaitNext() =
        suspendCancellableCoroutine { continuation ->
            eventLoop.executeAfterEventLoopIteration {
                // The first task runs after the next reads. They report closed connections by tasks, which come next.
                eventLoop.execute { eventLoop.execute { if (continuation.isActive) continuation.resume(Unit) } }
            }
        }
}

/** Creates the reads of the sockets that the event loop of [context] serves. */
internal fun createEventLoopReads(context: Context): SocketReads =
    EventLoopReads((context as ContextInternal).nettyEventLoop() as SingleThreadEventLoop)
