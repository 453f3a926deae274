package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.connection.AnswerScope
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An answer that a connection brought beside the one to a request in progress, with the ids, status and form of its head.
 *
 * [signature] is what its server signed it with, shortened for the log; null if it has none.
 */
data class SurplusAnswer(
    val requestIds: List<String>,
    val status: Int,
    val signature: String?,
    val form: AnswerForm,
) {
    /** The ids, shortened for the log. */
    val shownIds: String
        get() = requestIds.joinToString(limit = SHOWN_IDS) { it.take(SHOWN_CHARACTERS) }

    private companion object {
        const val SHOWN_IDS = 2
        const val SHOWN_CHARACTERS = 40
    }
}

/** Returns true if the ids of an answer name the request [requestId], and no other. */
internal fun List<String>.nameOnly(requestId: String): Boolean = distinct() == listOf(requestId)

/**
 * A request that [life] of [pool] answered over a connection that had carried [history] before it.
 *
 * The request was sent at [sentAt], and the answer with [status], [signature] and [form] was complete at [at]. An answer
 * that [isRefusal] says that the request has not run. [scope] has the calls whose answers are compared with it; null unless
 * the call is a plain one. [body] is the fingerprint of its body; null if that is empty or longer than
 * [SecondAnswerBodies.MAXIMUM_BYTES].
 */
data class AnsweredRequest(
    val requestId: String,
    val life: BackendLife,
    val pool: PoolName,
    val history: ConnectionHistory,
    val status: Int,
    val isRefusal: Boolean,
    val signature: String?,
    val form: AnswerForm,
    val scope: AnswerScope?,
    val sentAt: Instant,
    val at: Instant,
    val body: Long?,
) {
    /** The time from the sending of the request to the end of its answer. */
    val took: Duration
        get() = at - sentAt
}
