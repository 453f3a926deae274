package org.acaciaflow.transport.direct

import org.acaciaflow.coordination.connection.AnswerContradiction
import org.acaciaflow.coordination.connection.AnswerHold
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.HoldEnd
import org.acaciaflow.coordination.connection.HoldOutcome
import org.acaciaflow.coordination.connection.HoldStart
import org.acaciaflow.coordination.connection.SecondAnswerForms
import org.acaciaflow.coordination.connection.SurplusAnswer
import kotlin.time.Clock
import kotlin.time.Duration

/** Applies [AnswerHold] to the answers of backend servers, and reports those that are not believed. */
internal class HeldAnswers(
    private val observer: ConnectionObserver,
    private val open: OpenConnections,
    private val forms: ObservedForms,
    private val longest: Duration,
    private val clock: Clock,
) {
    /** Decides whether the answer to [call], which is [answered], is held. */
    fun begin(
        call: SentCall,
        answered: AnsweredRequest,
    ): HoldStart {
        val mayBeSecond = open.isIsolated(answered.life) && !forms.isRecognisable(answered)
        val isUnusualSuccess = !answered.isRefusal && forms.isUnusual(answered)
        val isDoubtful = mayBeSecond || hasSecondAnswerBody(answered) || isUnusualSuccess
        return AnswerHold.begin(call.order, call.purpose, answered, isDoubtful, open.holdLength(answered.pool, longest))
    }

    /** Decides on the held answer [answered], behind which [second] has arrived. */
    fun secondAnswered(
        answered: AnsweredRequest,
        second: SurplusAnswer,
    ): HoldOutcome {
        forms.secondSeen(answered, second)
        open.surplusAnswered(answered.life) // first, so that the connection carries no other request
        val outcome = AnswerHold.afterSecondAnswer(answered, second, hasSecondAnswerBody(answered))
        if (outcome is HoldEnd.Reject) {
            open.contradictionSeen(answered, second)
            report(answered, second, outcome.contradiction)
        }
        return outcome
    }

    /** Decides on the held answer [answered], behind which nothing has arrived when its hold ends. */
    fun ended(answered: AnsweredRequest): HoldEnd =
        AnswerHold.uncontradicted(hasSecondAnswerBody(answered)).also { reportAlone(answered, it) }

    /** Decides on the held answer [answered], whose connection has ended as [isExpected] or not. */
    fun connectionEnded(
        answered: AnsweredRequest,
        isExpected: Boolean,
    ): HoldEnd =
        AnswerHold
            .connectionEnded(answered, isExpected, hasSecondAnswerBody(answered))
            .also { reportAlone(answered, it) }

    /**
     * Reports that [answered], which has the form of second answers, is not believed.
     *
     * It is the first answer to its request if [isFirst].
     */
    fun doubted(
        answered: AnsweredRequest,
        isFirst: Boolean,
    ) {
        if (isFirst) forms.doubted(answered)
        open.surplusAnswered(answered.life) // first, so that the connection carries no other request
        report(answered, second = null, AnswerContradiction.SECOND_ANSWER_FORM)
    }

    /** Returns how long the true answer to [call] is waited for behind one that is not believed. */
    fun waitingTime(call: SentCall): Duration = SecondAnswerForms.waitingTime(call.order, longest, clock.now())

    private fun hasSecondAnswerBody(answered: AnsweredRequest): Boolean =
        !answered.isRefusal && open.isSecondAnswerBody(answered.life, answered.body)

    private fun reportAlone(
        answered: AnsweredRequest,
        end: HoldEnd,
    ) {
        if (end is HoldEnd.Reject) report(answered, second = null, end.contradiction)
    }

    private fun report(
        answered: AnsweredRequest,
        second: SurplusAnswer?,
        contradiction: AnswerContradiction,
    ) {
        val isFirst = open.contradictionReported(answered.life)
        observer.contradicted(answered, second, contradiction, clock.now(), isFirst)
    }
}
