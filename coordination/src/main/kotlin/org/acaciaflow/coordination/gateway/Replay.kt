package org.acaciaflow.coordination.gateway

import kotlinx.io.bytestring.isEmpty
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.work.AnswerHead

/** Answers a resend with the answer that the first call got. */
internal suspend fun replayTo(
    exchange: CallerExchange,
    answer: StoredAnswer,
) {
    exchange.begin(AnswerHead(answer.status, answer.headers))
    if (!answer.body.isEmpty()) exchange.send(answer.body)
    exchange.end()
}
