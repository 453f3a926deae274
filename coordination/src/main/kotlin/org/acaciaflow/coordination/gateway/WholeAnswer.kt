package org.acaciaflow.coordination.gateway

import kotlinx.io.bytestring.isEmpty
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.work.AnswerHead

/** Sends a complete answer; stops as soon as a write reports that the caller has gone. */
internal suspend fun CallerExchange.sendWhole(answer: StoredAnswer): CallerWrite {
    if (begin(AnswerHead(answer.status, answer.headers)) == CallerWrite.CALLER_GONE) return CallerWrite.CALLER_GONE
    if (!answer.body.isEmpty() && send(answer.body) == CallerWrite.CALLER_GONE) return CallerWrite.CALLER_GONE
    return end()
}
