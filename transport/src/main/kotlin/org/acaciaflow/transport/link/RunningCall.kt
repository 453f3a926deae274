package org.acaciaflow.transport.link

import kotlinx.coroutines.CompletableDeferred
import org.acaciaflow.coordination.port.AttemptOrder

/** An admitted attempt in flight, and its cancellation. */
internal class RunningCall(
    val order: AttemptOrder,
    val stream: CallStream,
) {
    /** Completes when the call is to be cancelled. */
    val cancelled = CompletableDeferred<Unit>()

    /** Cancels the call, unless it is at-most-once: such a call runs to completion. */
    fun cancel() {
        if (!order.atMostOnce) cancelled.complete(Unit)
    }

    fun onLinkClosed() {
        stream.onLinkClosed()
        cancel()
    }
}
