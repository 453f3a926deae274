package org.acaciaflow.coordination.connection

import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.RunOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether an answer is held back until its server can no longer contradict it.
 *
 * A server that answers twice may write a success before the failure of the same run, or in place of it, or refuse a
 * request that it runs. A second answer with another status shows that one of the two is wrong, and nothing tells which.
 */
object AnswerHold {
    /**
     * Decides on the answer to [order], which has just [answered] it.
     *
     * Only a plain one that [isDoubtful] is held, for [longest] or a share of the time left: one of an isolated server,
     * with a body that its server was seen to write as a second answer, or of a form that is unusual for its call. A refusal
     * is held if a second run would harm.
     * A call that may be sent to another server keeps the time for that.
     */
    fun begin(
        order: RunOrder,
        purpose: CallPurpose,
        answered: AnsweredRequest,
        isDoubtful: Boolean,
        longest: Duration,
    ): HoldStart {
        val matters = if (answered.isRefusal) !order.repeatable else answered.status in SUCCESSES
        if (!isDoubtful || !isPlain(order, purpose) || !matters) return HoldStart.PassOn
        val left = order.deadline - answered.at
        val mayBeSentElsewhere = order.repeatable || answered.isRefusal
        val available =
            if (mayBeSentElsewhere) {
                minOf(left * SHARE_BEFORE_ANOTHER_RUN, left - answered.took * RUNS_LEFT)
            } else {
                left * SHARE_WITHOUT_ANOTHER_RUN
            }
        val duration = minOf(longest, available)
        return if (duration >= SHORTEST) HoldStart.Hold(duration) else HoldStart.PassOn
    }

    /** Returns true if [answered], the answer to [order], is the success of a plain call. */
    fun isPlainSuccess(
        order: RunOrder,
        purpose: CallPurpose,
        answered: AnsweredRequest,
    ): Boolean = isPlain(order, purpose) && answered.status in SUCCESSES && !answered.isRefusal

    private fun isPlain(
        order: RunOrder,
        purpose: CallPurpose,
    ): Boolean = purpose == CallPurpose.RUN && !order.expectsEvents

    /**
     * Decides on the held answer [first] when [second] arrives behind it.
     *
     * An answer that does not name the request says nothing of it, and one that does may follow.
     * If the first one [hasSecondAnswerBody], the second one is the true answer or its copy; the first is not believed.
     */
    fun afterSecondAnswer(
        first: AnsweredRequest,
        second: SurplusAnswer,
        hasSecondAnswerBody: Boolean,
    ): HoldOutcome =
        when {
            !second.requestIds.nameOnly(first.requestId) -> HoldOutcome.Wait
            contradicts(first, second) -> HoldEnd.Reject(AnswerContradiction.OTHER_STATUS)
            else -> uncontradicted(hasSecondAnswerBody)
        }

    /** Returns true if [second] shows that the success or refusal [first] may be wrong. */
    fun contradicts(
        first: AnsweredRequest,
        second: SurplusAnswer,
    ): Boolean =
        second.requestIds.nameOnly(first.requestId) &&
            second.status != first.status &&
            (first.isRefusal || first.status in SUCCESSES)

    /** Decides on a held answer that nothing contradicts when its hold ends. */
    fun uncontradicted(hasSecondAnswerBody: Boolean): HoldEnd =
        if (hasSecondAnswerBody) HoldEnd.Reject(AnswerContradiction.SECOND_ANSWER_BODY) else HoldEnd.PassOn

    /**
     * Decides on the held answer [answered] when its connection ends.
     *
     * That [isExpected] if the answer announced it or this process closes the connection. A server that ends it for another
     * reason may have failed behind a success; behind a refusal there is nothing to fail.
     */
    fun connectionEnded(
        answered: AnsweredRequest,
        isExpected: Boolean,
        hasSecondAnswerBody: Boolean,
    ): HoldEnd =
        if (isExpected || answered.isRefusal) {
            uncontradicted(hasSecondAnswerBody)
        } else {
            HoldEnd.Reject(AnswerContradiction.CONNECTION_ENDED)
        }

    /** How long an answer is held at most unless the settings say otherwise. */
    val DEFAULT_LONGEST: Duration = 400.milliseconds

    internal val SUCCESSES = 200..299

    private val SHORTEST: Duration = 1.milliseconds // the resolution of timers
    private const val SHARE_BEFORE_ANOTHER_RUN = 0.5
    private const val SHARE_WITHOUT_ANOTHER_RUN = 0.75 // leaves time to pass the answer on
    private const val RUNS_LEFT = 2 // another run may be slower than this one
}

/** What becomes of an answer that has arrived whole. */
sealed interface HoldStart {
    data object PassOn : HoldStart

    data class Hold(
        val duration: Duration,
    ) : HoldStart
}

/** What becomes of a held answer. */
sealed interface HoldOutcome {
    /** It is held on. */
    data object Wait : HoldOutcome
}

/** How the hold of an answer ends. */
sealed interface HoldEnd : HoldOutcome {
    data object PassOn : HoldEnd

    /** Neither answer is believed. */
    data class Reject(
        val contradiction: AnswerContradiction,
    ) : HoldEnd
}

/** Why a success is not believed. */
enum class AnswerContradiction(
    val code: String,
) {
    /** A second answer to the same request has another status. */
    OTHER_STATUS("other-status"),

    /** It has a body that the server writes as its second answer to other requests. */
    SECOND_ANSWER_BODY("second-answer-body"),

    /** Its head has the form of second answers, and the true answers to like calls have another one. */
    SECOND_ANSWER_FORM("second-answer-form"),

    /** Its connection ended just after it, which the answer had not announced. */
    CONNECTION_ENDED("connection-ended"),
}
