package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.state.work.HeaderField

/** Headers that a sidecar adds to requests to its engine, and that the engine adds to its answers. */
object EngineHeaders {
    const val ATTEMPT = "X-Acaciaflow-Attempt"
    const val PRIORITY = "X-Acaciaflow-Priority"
    const val RESUME_FROM_TOKEN = "X-Acaciaflow-Resume-From-Token"
    const val ROLE = "X-Engine-Role"
    const val LIFE = "X-Engine-Life"
    const val WAITING_TOKENS = "X-Engine-Waiting-Tokens"

    /** The headers that the sidecar adds to the request of [order]. */
    fun fieldsFor(order: AttemptOrder): PersistentList<HeaderField> {
        val always =
            persistentListOf(
                HeaderField(ATTEMPT, order.attempt.toString()),
                HeaderField(PRIORITY, order.rank.ordinal.toString()),
            )
        if (order.resumeFromToken == 0) return always
        return always.add(HeaderField(RESUME_FROM_TOKEN, order.resumeFromToken.toString()))
    }
}
