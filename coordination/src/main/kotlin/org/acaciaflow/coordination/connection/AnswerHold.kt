package org.acaciaflow.coordination.connection

import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.RunOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Decides whether a success is held back until its server can no longer contradict it.
 *
 * A server that answers twice may write a success before the failure of the same run, or in place of it. A second
 * answer with another status shows that one of the two is wrong, and nothing tells which.
 */
object AnswerHold {
    /**
     * Decides on the answer with [status] to [order], which is complete at [now].
     *
     * Only a plain success that [isDoubtful] is held, for [longest] or a share of the time left: one of an isolated server,
     * or with a body that its server was seen to write as a second answer.
     */
    fun begin(
        order: RunOrder,
        purpose: CallPurpose,
        status: Int,
        isDoubtful: Boolean,
        longest: Duration,
        now: Instant,
    ): HoldStart {
        val isPlain = purpose == CallPurpose.RUN && !order.expectsEvents
        if (!isDoubtful || !isPlain || status !in SUCCESSES) return HoldStart.PassOn
        val duration = minOf(longest, (order.deadline - now) * SHARE_OF_TIME_LEFT)
        return if (duration >= SHORTEST) HoldStart.Hold(duration) else HoldStart.PassOn
    }

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
            second.status != first.status -> HoldEnd.Reject(AnswerContradiction.OTHER_STATUS)
            else -> uncontradicted(hasSecondAnswerBody)
        }

    /** Decides on a held answer that nothing contradicts when its hold ends. */
    fun uncontradicted(hasSecondAnswerBody: Boolean): HoldEnd =
        if (hasSecondAnswerBody) HoldEnd.Reject(AnswerContradiction.SECOND_ANSWER_BODY) else HoldEnd.PassOn

    /** How long an answer is held at most unless the settings say otherwise. */
    val DEFAULT_LONGEST: Duration = 100.milliseconds

    internal val SUCCESSES = 200..299

    private val SHORTEST: Duration = 1.milliseconds // the resolution of timers
    private const val SHARE_OF_TIME_LEFT = 0.25 // leaves time to send the request elsewhere
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
}
