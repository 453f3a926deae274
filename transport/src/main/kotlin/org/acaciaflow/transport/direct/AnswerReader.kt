package org.acaciaflow.transport.direct

import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.SurplusAnswer
import org.acaciaflow.coordination.fleet.BackendAvailability
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.protocol.dialect.AnswerVerdict
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.protocol.dialect.isOfAddressedServer
import org.acaciaflow.protocol.http.answerFormOf
import org.acaciaflow.state.connection.AnswerOrigin
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Instant

/** A request sent to a backend server at [sentAt] on a connection that has carried [history] before. */
internal data class SentCall(
    val order: RunOrder,
    val purpose: CallPurpose,
    val history: ConnectionHistory,
    val sentAt: Instant,
)

/** Interprets the heads of backend servers' answers, and applies what they tell about the servers. */
internal class AnswerReader(
    private val dialect: BackendDialect,
    private val availability: BackendAvailability,
    private val observer: ConnectionObserver,
) {
    /** Classifies the answer with [head] that arrived at [now] after [call]. */
    fun read(
        call: SentCall,
        head: AnswerHead,
        now: Instant,
    ): AnswerVerdict {
        val verdict = dialect.classifyAnswer(call.order, call.purpose, head)
        if (verdict == AnswerVerdict.OfOtherRequest) {
            val answer = dialect.surplusAnswer(head)
            observer.foreignAnswer(call.order, call.history, answer, now)
        }
        if (verdict.isOfAddressedServer) {
            availability.noticed(call.order, dialect.leavingNotice(head))
            availability.noticed(call.order, dialect.restNotice(head), refused = verdict is AnswerVerdict.NotExecuted)
            availability.noticed(call.order, dialect.limitNotice(head), sentAt = call.sentAt, now)
        }
        return verdict
    }

    /** The ids of requests that the answer with [head] bears. */
    fun idsOf(head: AnswerHead): List<String> = dialect.answerIds(head)

    /** Where the answer with [head] to [call] comes from; a long signature is shortened for the log. */
    fun originOf(
        call: SentCall,
        head: AnswerHead,
    ): AnswerOrigin =
        AnswerOrigin(
            call.order.backend.life,
            call.history.number,
            dialect.shownSignature(head),
            answerFormOf(head),
        )
}

/** The signature of the answer with [head], shortened for the log; null if it has none. */
internal fun BackendDialect.shownSignature(head: AnswerHead): String? = signature(head)?.take(SHOWN_CHARACTERS)

/** The answer with [head], which is not the one to a request in progress. */
internal fun BackendDialect.surplusAnswer(head: AnswerHead): SurplusAnswer =
    SurplusAnswer(answerIds(head), head.status, shownSignature(head), answerFormOf(head))

private const val SHOWN_CHARACTERS = 80
