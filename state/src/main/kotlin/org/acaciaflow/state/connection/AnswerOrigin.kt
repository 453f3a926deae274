package org.acaciaflow.state.connection

import org.acaciaflow.state.fleet.BackendLife

/**
 * Where an answer comes from: the server [life], over the connection [connection] of this process.
 *
 * [signature] is what the server signed its answer with; null if it has none. [form] is that of its head.
 */
data class AnswerOrigin(
    val life: BackendLife,
    val connection: Long,
    val signature: String?,
    val form: AnswerForm,
)
