package org.acaciaflow.transport.link

import kotlinx.coroutines.CompletableDeferred
import org.acaciaflow.coordination.port.AttemptOrder

/** An admitted attempt and the means to break it off. */
internal class RunningCall(
    val order: AttemptOrder,
    val stream: CallStream,
) {
    /** Completes when nobody waits for the answer any more. */
    val cancelled = CompletableDeferred<Unit>()

    /** Breaks the call off, unless it must run to its end. */
    fun cancel() {
        if (!order.atMostOnce) cancelled.complete(Unit)
    }

    fun linkEnded() {
        stream.linkEnded()
        cancel()
    }
}
