package org.acaciaflow.transport.link

import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.state.refusal.AttemptRefusal

/** Stream of an attempt that could not be sent to its sidecar: it contains only the refusal. */
internal class RefusedStream(
    private val reason: AttemptRefusal,
) : AttemptStream {
    override suspend fun next(): AttemptEvent = AttemptEvent.Refused(reason)

    override fun cancel() = Unit
}
